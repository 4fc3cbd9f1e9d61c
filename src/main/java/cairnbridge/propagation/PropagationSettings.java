package cairnbridge.propagation;

/**
 * The figures that propagation goes by. Spans are tenths of a millisecond.
 *
 * @param beatEvery a parent says something to each child at least so often
 * @param parentTimeout a parent silent for so long is given up
 * @param detachedAfter a parent is given up that speaks, but has had no word from the source for so
 *     long
 * @param preferEvery a child whose parent is not its first candidate asks that one so often
 * @param subscribeRetry an unanswered subscription is sent again after this
 * @param reportEvery a child reports at least so often
 * @param reportDelay news from beneath is gathered for so long before it is reported
 * @param batchDelay changes are gathered for so long before they are passed on
 * @param childTimeout a child silent for so long is dropped
 * @param retransmitAfter what a child has not acknowledged is sent again after this; the span
 *     doubles with each repetition
 * @param retransmitMost up to this
 * @param bytesPerSecond to one child at most, on average
 * @param burstBytes so many may be saved up
 * @param windowBytes sent to one child but not acknowledged at most
 * @param messageBytes pieces of a message at most, without its frame
 * @param changeBytes body of a change at most
 * @param logChanges changes kept for those behind at most
 * @param logBytes bodies of these at most
 * @param children at most
 */
public record PropagationSettings(
        long beatEvery,
        long parentTimeout,
        long detachedAfter,
        long preferEvery,
        long subscribeRetry,
        long reportEvery,
        long reportDelay,
        long batchDelay,
        long childTimeout,
        long retransmitAfter,
        long retransmitMost,
        int bytesPerSecond,
        int burstBytes,
        int windowBytes,
        int messageBytes,
        int changeBytes,
        int logChanges,
        int logBytes,
        int children) {
    public static final long SECOND = 10_000;
    public static final long MILLISECOND = 10;

    /**
     * A few large changes, each passed on at once. The span of a retransmission does not grow: four
     * of them, at any of four hops, have to fit into the 3 s in which a change is to be in force.
     * What they may cost is bounded by the bytes a second.
     */
    public static final PropagationSettings CONFIGURATIONS =
            new PropagationSettings(
                    500 * MILLISECOND,
                    1_500 * MILLISECOND,
                    5 * SECOND,
                    30 * SECOND,
                    300 * MILLISECOND,
                    SECOND,
                    100 * MILLISECOND,
                    0,
                    5 * SECOND,
                    400 * MILLISECOND,
                    400 * MILLISECOND,
                    3_000,
                    32_768,
                    131_072,
                    1_000,
                    65_536,
                    256,
                    1 << 20,
                    300);

    /** Many small changes, gathered for a quarter of a second at each hop. */
    public static final PropagationSettings PURGES =
            new PropagationSettings(
                    500 * MILLISECOND,
                    1_500 * MILLISECOND,
                    5 * SECOND,
                    30 * SECOND,
                    300 * MILLISECOND,
                    SECOND,
                    500 * MILLISECOND,
                    250 * MILLISECOND,
                    5 * SECOND,
                    800 * MILLISECOND,
                    4 * SECOND,
                    3_000,
                    8_192,
                    16_384,
                    1_000,
                    4_096,
                    65_536,
                    6 << 20,
                    300);
}

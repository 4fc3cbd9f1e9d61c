package cairnbridge.propagation;

import cairnbridge.time.Ticks;

/**
 * The timeouts, flow control and limits of one topic.
 *
 * @param heartbeat timeouts and intervals between a subscriber and its parent
 * @param reports delays of reports and of forwarding
 * @param flow flow control of the changes sent to one downstream
 * @param limits maximum sizes and counts
 */
public record PropagationSettings(
        HeartbeatSettings heartbeat, ReportSettings reports, FlowSettings flow, Limits limits) {

    /**
     * Timeouts and intervals between a subscriber and its parent, in ticks.
     *
     * @param interval the maximum time between two messages of a parent to a downstream
     * @param parentTimeout a parent that is silent for this long is replaced
     * @param detachedTimeout a parent whose heartbeats carry no new sequence number of the
     *     publisher for this long is replaced
     * @param preferredParentInterval a subscriber whose parent is not its first candidate sends the
     *     first candidate a report at this interval
     * @param subscribeTimeout an unanswered subscription is sent again after this long
     * @param downstreamTimeout a downstream that is silent for this long is dropped
     */
    public record HeartbeatSettings(
            long interval,
            long parentTimeout,
            long detachedTimeout,
            long preferredParentInterval,
            long subscribeTimeout,
            long downstreamTimeout) {
        /** The values used for all topics. */
        public static final HeartbeatSettings DEFAULT =
                new HeartbeatSettings(
                        500 * Ticks.MILLISECOND,
                        1_500 * Ticks.MILLISECOND,
                        5 * Ticks.SECOND,
                        30 * Ticks.SECOND,
                        300 * Ticks.MILLISECOND,
                        5 * Ticks.SECOND);
    }

    /**
     * Intervals and batching delays of reports and changes, in ticks.
     *
     * @param interval the maximum time between two reports of a subscriber
     * @param delay changed reports of downstreams are batched for this long before they are
     *     reported
     * @param batchDelay changes are batched for this long before they are forwarded
     */
    public record ReportSettings(long interval, long delay, long batchDelay) {}

    /**
     * Flow control for one downstream; durations are in ticks.
     *
     * @param retransmitTimeout unacknowledged changes are sent again after this long; the timeout
     *     doubles with each retransmission
     * @param maxRetransmitTimeout the upper bound of the doubled timeout
     * @param bytesPerSecond the maximum average rate of sending
     * @param burstBytes the maximum unused credit that can accumulate
     * @param windowBytes the maximum number of unacknowledged bytes in flight
     */
    public record FlowSettings(
            long retransmitTimeout,
            long maxRetransmitTimeout,
            int bytesPerSecond,
            int burstBytes,
            int windowBytes) {}

    /**
     * Maximum sizes and counts.
     *
     * @param messageBytes the payload of one message, without its frame
     * @param changeBytes the size of the body of one change
     * @param logChanges the number of changes retained for downstreams that are behind
     * @param logBytes the total size of the bodies of the retained changes
     * @param downstreams the number of downstreams of one process
     */
    public record Limits(
            int messageBytes, int changeBytes, int logChanges, int logBytes, int downstreams) {}

    /**
     * For infrequent, large changes, each forwarded at once. The retransmission timeout does not
     * grow: four retransmissions, spread over any of four hops, must fit into the 3 s within which
     * a change has to be in force. The byte rate limits their cost.
     */
    public static final PropagationSettings CONFIGURATIONS =
            new PropagationSettings(
                    HeartbeatSettings.DEFAULT,
                    new ReportSettings(Ticks.SECOND, 100 * Ticks.MILLISECOND, 0),
                    new FlowSettings(
                            400 * Ticks.MILLISECOND,
                            400 * Ticks.MILLISECOND,
                            3_000,
                            32_768,
                            131_072),
                    new Limits(1_000, 65_536, 256, 1 << 20, 300));

    /** For frequent, small changes, batched for a quarter of a second at each hop. */
    public static final PropagationSettings PURGES =
            new PropagationSettings(
                    HeartbeatSettings.DEFAULT,
                    new ReportSettings(
                            Ticks.SECOND, 500 * Ticks.MILLISECOND, 250 * Ticks.MILLISECOND),
                    new FlowSettings(
                            800 * Ticks.MILLISECOND, 4 * Ticks.SECOND, 3_000, 8_192, 16_384),
                    new Limits(1_000, 4_096, 65_536, 6 << 20, 300));
}

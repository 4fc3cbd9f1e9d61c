package cairnbridge.propagation;

import java.util.List;

/** The messages of one topic between members and control machines. */
public sealed interface Message {
    /** The number of bytes a transport adds to a datagram: address headers, seal, sender, kind. */
    int FRAME_BYTES = 110;

    /** The highest epoch the sender has seen. */
    long epoch();

    /** The estimated size in bytes of the encoded message. */
    int size();

    /**
     * Included in each message in which a parent sends changes or a keep-alive to a downstream.
     *
     * @param epoch the highest epoch the sender has seen
     * @param sequence counts the publisher's heartbeats in this epoch; it does not increase while
     *     the sender is cut off from the publisher
     * @param hops the number of hops from the publisher to the sender; 0 for the publisher
     */
    record Heartbeat(long epoch, long sequence, int hops) {
        static final int BYTES = 12;
    }

    /** A parent's heartbeat without changes. */
    record KeepAlive(Heartbeat heartbeat) implements Message {
        @Override
        public long epoch() {
            return heartbeat.epoch();
        }

        @Override
        public int size() {
            return FRAME_BYTES + Heartbeat.BYTES;
        }
    }

    /** A parent forwards changes to a downstream. */
    record Changes(Heartbeat heartbeat, List<Fragment> fragments) implements Message {
        /** Makes an immutable copy of the list. */
        public Changes {
            fragments = List.copyOf(fragments);
        }

        @Override
        public long epoch() {
            return heartbeat.epoch();
        }

        @Override
        public int size() {
            return FRAME_BYTES
                    + Heartbeat.BYTES
                    + fragments.stream().mapToInt(Fragment::size).sum();
        }
    }

    /**
     * A downstream reports its own progress and that of the members below it. The report also
     * creates or renews its subscription.
     *
     * @param generation a number that differs after each restart of the sender
     * @param sequence increases with each report of a generation; the parts of a split report have
     *     the same number
     * @param receivedUpTo all changes up to this position have been received, whether applied or
     *     rejected
     * @param missingTo the end of a gap that starts after receivedUpTo, found because later changes
     *     have arrived; {@link Position#NONE} if no gap is known
     * @param sites the progress of some sites below the sender; each entry replaces the last report
     *     on that site
     * @param rejections some rejections by the sender and the members below it, the sender's own
     *     first
     */
    record Report(
            long epoch,
            long generation,
            long sequence,
            Position receivedUpTo,
            Position missingTo,
            List<SiteProgress> sites,
            List<Rejection> rejections)
            implements Message {
        static final int HEADER_BYTES = 30;

        /** Makes immutable copies of the lists. */
        public Report {
            sites = List.copyOf(sites);
            rejections = List.copyOf(rejections);
        }

        @Override
        public int size() {
            return FRAME_BYTES
                    + HEADER_BYTES
                    + sites.stream().mapToInt(SiteProgress::size).sum()
                    + rejections.stream().mapToInt(Rejection::size).sum();
        }
    }

    /** A downstream unsubscribes because it changes its parent. */
    record Leave(long epoch) implements Message {
        @Override
        public int size() {
            return FRAME_BYTES;
        }
    }

    /** A parent refuses a subscription; the downstream must try another candidate. */
    record SubscriptionRejected(long epoch, Reason reason) implements Message {
        /** Why the parent refuses the subscription. */
        public enum Reason {
            /** The parent has reached its limit of downstreams. */
            FULL,
            /** The parent's log no longer has the changes the downstream needs. */
            LOG_TOO_SHORT
        }

        @Override
        public int size() {
            return FRAME_BYTES + 1;
        }
    }
}

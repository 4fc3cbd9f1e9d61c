package cairnbridge.propagation;

import java.util.List;

/** What members and control machines say to one another about one topic. */
public sealed interface Message {
    /** What a transport adds to each datagram: address headers, seal, sender, kind. */
    int FRAME_BYTES = 110;

    /** The highest epoch that the sender knows of. */
    long epoch();

    /** The size on the wire, as estimated from the fields. */
    int size();

    /**
     * Goes with all that a parent tells its downstreams.
     *
     * @param epoch the highest that the sender knows of
     * @param sequence counts the publisher's heartbeats in this epoch; it stands still where the
     *     sender is cut off from the publisher
     * @param hops how far the sender is from the publisher, which is 0 from itself
     */
    record Heartbeat(long epoch, long sequence, int hops) {
        static final int BYTES = 12;
    }

    /** A parent has nothing to pass on but is there. */
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

    /** A parent passes on changes. */
    record Changes(Heartbeat heartbeat, List<Fragment> fragments) implements Message {
        /** Copies the list. */
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
     * A downstream says how far it is, which also keeps it subscribed, and how far those beneath it
     * are.
     *
     * @param generation another one in each generation of the sender
     * @param sequence grows with each report of a generation; the parts of one report share it
     * @param held all up to here has been received, whether applied or rejected
     * @param missingTo what comes after held up to here was lost, as later ones have come; {@link
     *     Position#NONE} where nothing is known to be missing
     * @param sites some of the sites beneath; each replaces what was last reported of it
     * @param rejections some of those beneath, the sender's own first
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

        /** Copies the lists. */
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

    /** A downstream has found another parent. */
    record Leave(long epoch) implements Message {
        @Override
        public int size() {
            return FRAME_BYTES;
        }
    }

    /** A parent does not serve this downstream, who is to ask another. */
    record SubscriptionRejected(long epoch, Reason reason) implements Message {
        /** Why. */
        public enum Reason {
            /** It has as many downstreams as it may have. */
            FULL,
            /** What the downstream lacks is no longer in its log. */
            LOG_TOO_SHORT
        }

        @Override
        public int size() {
            return FRAME_BYTES + 1;
        }
    }
}

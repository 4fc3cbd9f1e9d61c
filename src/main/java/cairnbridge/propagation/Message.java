package cairnbridge.propagation;

import java.util.List;

/** What members and control machines say to one another about one topic. */
public sealed interface Message {
    /** What a carrier adds to each datagram: address headers, seal, sender, kind. */
    int FRAME_BYTES = 110;

    /** The highest epoch that the sender knows of. */
    long epoch();

    /** The size on the wire, as estimated from the fields. */
    int size();

    /**
     * Goes with all that a parent tells its children.
     *
     * @param epoch the highest that the sender knows of
     * @param beat counts the source's heartbeats in this epoch; it stands still where the sender is
     *     cut off from the source
     * @param hops how far the sender is from the source, which is 0 from itself
     */
    record Heartbeat(long epoch, long beat, int hops) {
        static final int BYTES = 12;
    }

    /** A parent has nothing to pass on but is there. */
    record Beat(Heartbeat heartbeat) implements Message {
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
    record Changes(Heartbeat heartbeat, List<Piece> pieces) implements Message {
        public Changes {
            pieces = List.copyOf(pieces);
        }

        @Override
        public long epoch() {
            return heartbeat.epoch();
        }

        @Override
        public int size() {
            return FRAME_BYTES + Heartbeat.BYTES + pieces.stream().mapToInt(Piece::size).sum();
        }
    }

    /**
     * A child says how far it is, which also keeps it subscribed, and how far those beneath it are.
     *
     * @param life another one in each life of the sender
     * @param number grows with each report of a life; the parts of one report share it
     * @param held all up to here has been received, whether applied or turned down
     * @param missingTo what comes after held up to here was lost, as later ones have come; {@link
     *     Position#NONE} where nothing is known to be missing
     * @param sites some of the sites beneath; each replaces what was last reported of it
     * @param refusals some of those beneath, the sender's own first
     */
    record Report(
            long epoch,
            long life,
            long number,
            Position held,
            Position missingTo,
            List<SiteProgress> sites,
            List<Refusal> refusals)
            implements Message {
        static final int HEADER_BYTES = 30;

        public Report {
            sites = List.copyOf(sites);
            refusals = List.copyOf(refusals);
        }

        @Override
        public int size() {
            return FRAME_BYTES
                    + HEADER_BYTES
                    + sites.stream().mapToInt(SiteProgress::size).sum()
                    + refusals.stream().mapToInt(Refusal::size).sum();
        }
    }

    /** A child has found another parent. */
    record Leave(long epoch) implements Message {
        @Override
        public int size() {
            return FRAME_BYTES;
        }
    }

    /** A parent does not serve this child, who is to ask another. */
    record Rejected(long epoch, Reason reason) implements Message {
        /** Why. */
        public enum Reason {
            /** It has as many children as it may have. */
            FULL,
            /** What the child lacks is no longer in its log. */
            LOG_TOO_SHORT
        }

        @Override
        public int size() {
            return FRAME_BYTES + 1;
        }
    }
}

package cairnbridge.fleet.membership;

import cairnbridge.time.Ticks;

/**
 * The parameters of the membership protocol. Durations are in {@link Ticks}, sizes in bytes.
 *
 * @param probeInterval time between two probes; longer while the local health is bad
 * @param probeTimeout time without an answer after which other members are asked to ping as well
 * @param indirectProbes number of other members asked to ping
 * @param gossipInterval time between two gossip rounds
 * @param fanout number of members that receive gossip in each round
 * @param retransmitMultiplier an update is sent this many times the number of decimal digits of the
 *     fleet's size
 * @param suspicionMultiplier a suspicion lasts this many probe intervals times the decimal
 *     logarithm of the fleet's size
 * @param maxSuspicionMultiplier factor by which a suspicion lasts longer if no other member
 *     confirms it
 * @param antiEntropyInterval time between two comparisons of whole views in a small fleet; longer
 *     in a large one
 * @param deadProbeInterval time between two pings of dead members
 * @param deadRetention how long dead members are remembered
 * @param leftRetention how long members that left are remembered, so that older statements do not
 *     bring them back
 * @param metricsInterval minimum time between two announcements of a member's metrics; longer in a
 *     large fleet
 * @param maxMembers maximum number of members in a view
 * @param maxDatagramBytes maximum size of a datagram
 */
public record SwimSettings(
        long probeInterval,
        long probeTimeout,
        int indirectProbes,
        long gossipInterval,
        int fanout,
        int retransmitMultiplier,
        double suspicionMultiplier,
        double maxSuspicionMultiplier,
        long antiEntropyInterval,
        long deadProbeInterval,
        long deadRetention,
        long leftRetention,
        long metricsInterval,
        int maxMembers,
        int maxDatagramBytes) {

    /** Settings for fleets of up to some thousand members on shared networks. */
    public static final SwimSettings DEFAULT = builder().build();

    /** Creates a builder whose initial values are those of {@link #DEFAULT}. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds settings that differ from the default; the record's components describe them. */
    public static final class Builder {
        private static final int INDIRECT_PROBES = 3;
        private static final int FANOUT = 3;
        private static final int RETRANSMIT_MULTIPLIER = 4;
        private static final double SUSPICION_MULTIPLIER = 2;
        private static final double MAX_SUSPICION_MULTIPLIER = 3;
        private static final long DEAD_PROBE_INTERVAL = Ticks.SECOND;
        private static final long METRICS_INTERVAL = Ticks.SECOND;

        private long probeInterval = Ticks.SECOND / 2;
        private long probeTimeout = Ticks.SECOND / 5;
        private long gossipInterval = Ticks.SECOND / 5;
        private long antiEntropyInterval = 10 * Ticks.SECOND;
        private long deadRetention = 3_600 * Ticks.SECOND;
        private long leftRetention = 600 * Ticks.SECOND;
        private int maxMembers = 16_384;
        private int maxDatagramBytes = 1_200;

        private Builder() {}

        /** Sets the probe interval and the probe timeout. */
        public Builder probes(long interval, long timeout) {
            probeInterval = interval;
            probeTimeout = timeout;
            return this;
        }

        /** Sets the gossip interval. */
        public Builder gossipInterval(long interval) {
            gossipInterval = interval;
            return this;
        }

        /** Sets the interval of comparisons of whole views. */
        public Builder antiEntropyInterval(long interval) {
            antiEntropyInterval = interval;
            return this;
        }

        /** Sets how long dead members and members that left are remembered. */
        public Builder retention(long dead, long left) {
            deadRetention = dead;
            leftRetention = left;
            return this;
        }

        /** Sets the maximum number of members in a view. */
        public Builder maxMembers(int members) {
            maxMembers = members;
            return this;
        }

        /** Sets the maximum size of a datagram. */
        public Builder maxDatagramBytes(int bytes) {
            maxDatagramBytes = bytes;
            return this;
        }

        /** Creates the settings. */
        public SwimSettings build() {
            return new SwimSettings(
                    probeInterval,
                    probeTimeout,
                    INDIRECT_PROBES,
                    gossipInterval,
                    FANOUT,
                    RETRANSMIT_MULTIPLIER,
                    SUSPICION_MULTIPLIER,
                    MAX_SUSPICION_MULTIPLIER,
                    antiEntropyInterval,
                    DEAD_PROBE_INTERVAL,
                    deadRetention,
                    leftRetention,
                    METRICS_INTERVAL,
                    maxMembers,
                    maxDatagramBytes);
        }
    }
}

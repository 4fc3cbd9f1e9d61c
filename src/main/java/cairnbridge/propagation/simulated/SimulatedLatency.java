package cairnbridge.propagation.simulated;

import cairnbridge.hash.Fnv1a;
import cairnbridge.hash.SplitMix64;
import java.util.random.RandomGenerator;

/** The one-way latency between simulated nodes, in ticks. */
final class SimulatedLatency {
    /** A minimum latency and the width of its uniform variation, in ticks. */
    private record Range(int least, int spread) {}

    private static final Range WITHIN_SITE = new Range(1, 4);
    private static final Range WITHIN_REGION = new Range(20, 30);
    private static final int REGIONS_APART_LEAST = 150;
    private static final int REGIONS_APART_SPREAD = 700;
    private static final int JITTER = 50;

    private final RandomGenerator random;

    SimulatedLatency(RandomGenerator random) {
        this.random = random;
    }

    /** Draws the latency of one message. */
    long draw(SimulatedNode from, SimulatedNode to) {
        if (from.isAtSiteOf(to)) {
            return draw(WITHIN_SITE);
        }
        if (from.region().equals(to.region())) {
            return draw(WITHIN_REGION);
        }
        long apart =
                Math.floorMod(
                        SplitMix64.mix(Fnv1a.hash(from.region()) ^ Fnv1a.hash(to.region())),
                        REGIONS_APART_SPREAD);
        return REGIONS_APART_LEAST + apart + random.nextInt(JITTER);
    }

    private long draw(Range range) {
        return (long) range.least + random.nextInt(range.spread);
    }
}

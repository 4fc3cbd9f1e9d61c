package cairnbridge.lab.model;

import cairnbridge.simulation.EventQueue;
import java.util.random.RandomGenerator;

/**
 * How long a message takes: a least span by how far apart two places are, and on top an exponential
 * tail, as delays in data centres have (Dean and Barroso, The Tail at Scale, 2013). Times in tenths
 * of a millisecond.
 */
public final class Net {
    private final RandomGenerator chance;
    private final double same;
    private final double other;
    private final double tail;

    /** In milliseconds: one way within a zone, between zones, and the mean of what comes on top. */
    public Net(RandomGenerator chance, double same, double other, double tail) {
        this.chance = chance;
        this.same = same;
        this.other = other;
        this.tail = tail;
    }

    /** One way. */
    public long span(String from, String to) {
        double least = from.equals(to) ? same : other;
        return Math.max(
                1,
                Math.round(EventQueue.MILLI * (least - tail * Math.log(1 - chance.nextDouble()))));
    }
}

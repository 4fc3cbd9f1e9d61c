package cairnbridge.drill.rig;

import cairnbridge.drill.standin.Clients;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * What nobody could do better: a controller that knows the stand-ins serves, tick by tick, every
 * hit at once and as many misses and writes as the origin can take in that tick; what is left over
 * waits, as clients come again, for as long as they do. It gives the time until so great a part of
 * what is asked is served over a second.
 */
final class FullKnowledge {
    private static final int TICKS_A_SECOND = 100;
    private static final int MOST_SECONDS = 300;

    private record Waiting(long key, boolean write, int until) {}

    private FullKnowledge() {}

    /**
     * In milliseconds; perSecond: ops asked for, origin: fetches and writes it can take a second.
     */
    static long millisTo(double part, int perSecond, double origin, long seed) {
        RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        Set<Long> held = new HashSet<>();
        int[] served = new int[MOST_SECONDS * TICKS_A_SECOND];
        int[] asked = new int[served.length];
        ArrayDeque<Waiting> waiting = new ArrayDeque<>();
        double room = 0;
        long sumServed = 0;
        long sumAsked = 0;
        for (int tick = 0; tick < served.length; tick++) {
            room = Math.min(Math.max(1, origin / TICKS_A_SECOND), room + origin / TICKS_A_SECOND);
            int ops = perSecond * (tick + 1) / TICKS_A_SECOND - perSecond * tick / TICKS_A_SECOND;
            asked[tick] = ops;
            for (int i = 0; i < ops; i++) {
                boolean write = Clients.writes(chance);
                waiting.add(
                        new Waiting(
                                Clients.key(chance, Clients.KEYS),
                                write,
                                tick + Clients.TTL_MILLIS * TICKS_A_SECOND / 1000));
            }
            for (int i = waiting.size(); i > 0; i--) {
                Waiting op = waiting.poll();
                boolean hit = !op.write() && held.contains(op.key());
                if (hit || room >= 1) {
                    room -= hit ? 0 : 1;
                    served[tick]++;
                    if (!op.write()) {
                        held.add(op.key());
                    }
                } else if (tick < op.until()) {
                    waiting.add(op);
                }
            }
            sumServed += served[tick];
            sumAsked += asked[tick];
            int before = tick - TICKS_A_SECOND;
            if (before >= 0) {
                sumServed -= served[before];
                sumAsked -= asked[before];
                if (sumServed >= part * sumAsked) {
                    return 1000L * (before + 1) / TICKS_A_SECOND;
                }
            }
        }
        return 1000L * MOST_SECONDS;
    }
}

package cairnbridge.drill.link;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * The rules of all ways between processes, by their names; each way has a chance of its own, from
 * one seed.
 */
public final class Links {
    private record Way(String from, String to) {}

    /** What happens to one datagram: how many copies arrive, and each how late in milliseconds. */
    record Fate(int copies, long delay, long secondDelay) {}

    private static final int REORDERED_MILLIS = 30;
    private final Map<Way, LinkRule> rules = new ConcurrentHashMap<>();
    private final Map<Way, RandomGenerator> chances = new ConcurrentHashMap<>();
    private final long seed;

    /** Links without rules. */
    public Links(long seed) {
        this.seed = seed;
    }

    /** Changes the rule of one way. */
    public void change(String from, String to, UnaryOperator<LinkRule> change) {
        rules.compute(
                new Way(from, to),
                (way, rule) -> change.apply(rule == null ? LinkRule.CLEAR : rule));
    }

    /** Drops all rules. */
    public void heal() {
        rules.clear();
    }

    /** The rule of one direction between two processes. */
    public LinkRule rule(String from, String to) {
        return rules.getOrDefault(new Way(from, to), LinkRule.CLEAR);
    }

    Fate fate(String from, String to) {
        LinkRule rule = rule(from, to);
        if (rule.equals(LinkRule.CLEAR)) {
            return new Fate(1, 0, 0);
        }
        RandomGenerator chance =
                chances.computeIfAbsent(
                        new Way(from, to),
                        way ->
                                RandomGeneratorFactory.of("L64X128MixRandom")
                                        .create(
                                                seed
                                                        + 31L * way.from.hashCode()
                                                        + way.to.hashCode()));
        synchronized (chance) {
            boolean lost = rule.cut() || chance.nextDouble() < rule.loss();
            long late =
                    rule.delay()
                            + (chance.nextDouble() < rule.reordered()
                                    ? 1 + chance.nextInt(REORDERED_MILLIS)
                                    : 0);
            boolean twice = chance.nextDouble() < rule.doubled();
            return new Fate(
                    lost ? 0 : twice ? 2 : 1, late, late + 1 + chance.nextInt(REORDERED_MILLIS));
        }
    }
}

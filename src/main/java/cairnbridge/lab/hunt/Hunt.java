package cairnbridge.lab.hunt;

import cairnbridge.lab.hunt.BadDay.Fault;
import cairnbridge.lab.policy.Policy;
import cairnbridge.lab.run.Emulation;
import cairnbridge.lab.run.Outcome;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.IntStream;

/**
 * Looks for days on which the program's policy serves less than a simple one would, or breaks what
 * must hold, and shrinks the worst to the smallest that still shows it. The same seed finds the
 * same. A day's figure is the median over seeds, so that none is kept for one run's chance.
 */
public final class Hunt {
    private static final int KEPT = 8;
    private static final int SEEDS = 3;
    private static final double BROKEN = 10;
    private static final double STILL = 0.8;
    private static final List<Policy.Kind> OTHERS =
            List.of(Policy.Kind.TWO, Policy.Kind.RING, Policy.Kind.BOUNDED);

    /**
     * A day as a scenario's text, and how bad it is: service lost to the best other policy, over 10
     * if broken.
     */
    public record Found(double badness, String text) {}

    private record Scored(BadDay day, double badness, String why) {}

    private final RandomGenerator chance;
    private final Faults faults;
    private final Consumer<String> log;

    /** A search that draws from a seed and logs to a consumer. */
    public Hunt(long seed, Consumer<String> log) {
        chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        faults = new Faults(chance);
        this.log = log;
    }

    /** So many rounds of so many days; the worst, shrunk. */
    public Found run(int rounds, int days) {
        List<Scored> kept = new ArrayList<>();
        for (int round = 0; round < rounds; round++) {
            List<BadDay> next = new ArrayList<>();
            for (int i = 0; i < days; i++) {
                boolean fresh = kept.isEmpty() || chance.nextInt(4) == 0;
                next.add(
                        fresh
                                ? faults.day()
                                : faults.changed(kept.get(chance.nextInt(kept.size())).day()));
            }
            kept.addAll(all(next));
            kept.sort(Comparator.comparingDouble(Scored::badness).reversed());
            kept = new ArrayList<>(kept.subList(0, Math.min(KEPT, kept.size())));
            log.accept(
                    String.format(
                            Locale.ROOT,
                            "round %d: worst %.4f, %s",
                            round + 1,
                            kept.get(0).badness(),
                            kept.get(0).why()));
        }
        Scored worst = shrunk(kept.get(0));
        return new Found(worst.badness(), worst.day().text(worst.why()));
    }

    /** Side by side, in order: what is drawn by chance was drawn before. */
    private List<Scored> all(List<BadDay> days) {
        return IntStream.range(0, days.size())
                .parallel()
                .mapToObj(i -> scored(days.get(i)))
                .toList();
    }

    private static Scored scored(BadDay day) {
        List<Double> lost = new ArrayList<>();
        String best = "";
        for (long seed = 1; seed <= SEEDS; seed++) {
            Outcome mine = new Emulation(day.scenario(), Policy.Kind.ROUTER, seed).run();
            if (!mine.crashes().isEmpty() || mine.twice() > 0) {
                return new Scored(
                        day,
                        BROKEN,
                        mine.twice() > 0 ? "an effect twice" : "a crash: " + mine.crashes());
            }
            double most = 0;
            for (Policy.Kind other : OTHERS) {
                double service = new Emulation(day.scenario(), other, seed).run().service();
                if (service > most) {
                    most = service;
                    best = other.word();
                }
            }
            lost.add(most - mine.service());
        }
        lost.sort(Comparator.naturalOrder());
        double median = lost.get(SEEDS / 2);
        return new Scored(
                day,
                median,
                String.format(Locale.ROOT, "%.4f less served than by %s", median, best));
    }

    /** Takes away what is not needed to lose four fifths as much. */
    private Scored shrunk(Scored found) {
        Scored best = found;
        double enough = found.badness() * STILL;
        boolean smaller = true;
        while (smaller) {
            smaller = false;
            List<BadDay> tries = new ArrayList<>();
            for (Fault each : best.day().faults()) {
                List<Fault> fewer = new ArrayList<>(best.day().faults());
                fewer.remove(each);
                tries.add(best.day().with(fewer));
                if (each.span() > 1_000) {
                    List<Fault> shorter = new ArrayList<>(best.day().faults());
                    shorter.set(
                            shorter.indexOf(each),
                            new Fault(each.at(), each.span() / 2, each.begin(), each.end()));
                    tries.add(best.day().with(shorter));
                }
            }
            for (Scored each : all(tries)) {
                if (each.badness() >= enough && !smaller) {
                    best = each;
                    smaller = true;
                }
            }
        }
        log.accept("shrunk to " + best.day().faults().size() + " faults, " + best.why());
        return best;
    }
}

package cairnbridge.lab.hunt;

import cairnbridge.lab.hunt.BadDay.Fault;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** Chooses days and changes them a little, by chance. */
final class Faults {
    private static final int MOST_FAULTS = 5;
    private static final int LONGEST = 12_000;
    private static final int LATEST = 10_000;
    private static final int STEP = 100;
    private static final int KINDS = 10;
    private final RandomGenerator chance;

    Faults(RandomGenerator chance) {
        this.chance = chance;
    }

    BadDay day() {
        int members = 2 + chance.nextInt(7);
        int caches = 3 + chance.nextInt(10);
        BadDay empty = new BadDay(members, caches, 40 * members + chance.nextInt(200), List.of());
        List<Fault> faults = new ArrayList<>();
        for (int i = 1 + chance.nextInt(MOST_FAULTS); i > 0; i--) {
            faults.add(fault(empty));
        }
        return empty.with(faults);
    }

    private long span(int most) {
        return STEP * (1 + chance.nextInt(most / STEP));
    }

    private String some(String kind, int of) {
        int from = 1 + chance.nextInt(of);
        int to = Math.min(of, from + chance.nextInt(Math.max(1, of / 2)));
        return kind + from + (to > from ? ".." + kind + to : "");
    }

    private Fault fault(BadDay day) {
        String cache = some("c", day.caches());
        String proxy = some("p", day.members());
        String one = "c" + (1 + chance.nextInt(day.caches()));
        String[] what =
                switch (chance.nextInt(KINDS)) {
                    case 0 -> new String[] {"cache-kill " + cache, "cache-start " + cache};
                    case 1 ->
                            new String[] {
                                "cache-slow " + one + " " + span(800) + "ms",
                                "cache-slow " + one + " 2ms"
                            };
                    case 2 ->
                            new String[] {
                                "cache-grey " + cache + " yes", "cache-grey " + cache + " no"
                            };
                    case 3 ->
                            new String[] {
                                "cache-fails " + cache + " yes", "cache-fails " + cache + " no"
                            };
                    case 4 -> new String[] {"origin-slow " + span(400) + "ms", "origin-slow 15ms"};
                    case 5 ->
                            new String[] {
                                "origin-places " + (1 + chance.nextInt(6)), "origin-places 24"
                            };
                    case 6 -> new String[] {"freeze " + proxy, "thaw " + proxy};
                    case 7 ->
                            new String[] {
                                "load " + day.load() * (2 + chance.nextInt(4)), "load " + day.load()
                            };
                    case 8 -> new String[] {"discovery down " + proxy, "discovery up " + proxy};
                    default ->
                            new String[] {
                                "cache-listed " + cache + " Terminating",
                                "cache-listed " + cache + " Ready"
                            };
                };
        return new Fault(span(LATEST), span(LONGEST), what[0], what[1]);
    }

    /** A neighbour: one fault more, less, or at another time, or another size. */
    BadDay changed(BadDay day) {
        List<Fault> faults = new ArrayList<>(day.faults());
        int at = faults.isEmpty() ? 0 : chance.nextInt(faults.size());
        switch (chance.nextInt(5)) {
            case 0 -> {
                if (faults.size() < MOST_FAULTS) {
                    faults.add(fault(day));
                }
            }
            case 1 -> {
                if (faults.size() > 1) {
                    faults.remove(at);
                }
            }
            case 2 -> {
                if (!faults.isEmpty()) {
                    Fault old = faults.get(at);
                    faults.set(at, new Fault(span(LATEST), span(LONGEST), old.begin(), old.end()));
                }
            }
            case 3 -> {
                if (!faults.isEmpty()) {
                    faults.set(at, fault(day));
                }
            }
            default -> {
                return new BadDay(
                        day.members(),
                        day.caches(),
                        Math.max(20, day.load() * (70 + chance.nextInt(70)) / 100),
                        faults);
            }
        }
        return day.with(faults);
    }
}

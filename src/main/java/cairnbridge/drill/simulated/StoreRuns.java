package cairnbridge.drill.simulated;

import cairnbridge.store.Entry;
import cairnbridge.store.Kept;
import cairnbridge.store.Ledger;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Drives a store's files through losses of power, faults and rot on a simulated disk, and says by
 * an IllegalStateException that names the seed what did not hold. The same seed does the same.
 */
public final class StoreRuns {
    private static final int STEPS = 40, NODES = 6;

    /** What was told and what may have come to the disk all the same. */
    private static final class Model {
        private long life, epoch, version;
        private final Set<Long> versions = new HashSet<>(Set.of(0L));
        private final Map<Long, Boolean> held = new TreeMap<>();
        private final Map<Long, Set<Boolean>> maybe = new TreeMap<>();

        void tried(Entry.Kind kind, long number, boolean kept) {
            boolean hold = kind == Entry.Kind.HELD || kind == Entry.Kind.FREED;
            if (hold && kept) {
                held.put(number, kind == Entry.Kind.HELD);
                maybe.remove(number);
            } else if (hold) {
                maybe.computeIfAbsent(number, node -> new HashSet<>()).add(kind == Entry.Kind.HELD);
            } else if (kept && kind == Entry.Kind.LIFE) {
                life = Math.max(life, number);
            } else if (kept) {
                epoch = Math.max(epoch, number);
            }
        }

        String wrong(Kept kept) {
            if (kept.life() < life || kept.epoch() < epoch) {
                return "a life or an epoch went back";
            }
            if (kept.rosterVersion() < version || !versions.contains(kept.rosterVersion())) {
                return "list " + kept.rosterVersion() + " after " + version;
            }
            if (!kept.roster().equals(roster(kept.rosterVersion()))) {
                return "a state that was never written whole";
            }
            for (long node = 0; node < NODES; node++) {
                boolean out = kept.held().contains(node);
                if (out != held.getOrDefault(node, false)
                        && !maybe.getOrDefault(node, Set.of()).contains(out)) {
                    return "node " + node + " is " + (out ? "out" : "back");
                }
            }
            return "";
        }

        /** What was found counts from now on. */
        void found(Kept kept) {
            maybe.clear();
            for (long node = 0; node < NODES; node++) {
                held.put(node, kept.held().contains(node));
            }
            life = kept.life();
            epoch = kept.epoch();
            version = kept.rosterVersion();
        }
    }

    private StoreRuns() {}

    private static String roster(long version) {
        return version == 0 ? "" : "list " + version + " ".repeat((int) (version % 300));
    }

    /** What is read back was written whole and is no older than what was last known to be kept. */
    public static void lossOfPower(long seed) {
        RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        SimulatedDisk disk = new SimulatedDisk(chance);
        Model model = new Model();
        long number = 0;
        for (int life = 0; life < 6; life++) {
            Ledger ledger = opened(disk, seed);
            String wrong = model.wrong(ledger.kept());
            if (!wrong.isEmpty()) {
                throw new IllegalStateException("seed " + seed + ", life " + life + ": " + wrong);
            }
            model.found(ledger.kept());
            disk.fails(chance.nextInt(3) == 0 ? 0.2 : 0);
            for (int step = chance.nextInt(STEPS); step > 0; step--) {
                number++;
                if (chance.nextInt(4) == 0) {
                    snapshot(ledger, model, number);
                } else {
                    entries(ledger, model, chance, number);
                }
            }
            disk.losePower();
        }
    }

    private static Ledger opened(SimulatedDisk disk, long seed) {
        Ledger ledger = new Ledger(disk, "runs");
        try {
            ledger.open();
        } catch (IOException e) {
            throw new IllegalStateException("seed " + seed + ": cannot be read back", e);
        }
        return ledger;
    }

    private static void snapshot(Ledger ledger, Model model, long number) {
        Kept state =
                new Kept(
                        "runs",
                        0,
                        "boot",
                        number,
                        0,
                        number,
                        roster(number),
                        List.of(),
                        0,
                        null,
                        0,
                        0,
                        0,
                        List.of(),
                        List.of());
        model.versions.add(number);
        try {
            ledger.snapshot(state);
            model.version = number;
        } catch (IOException e) {
            return; // It may stand there whole or not; both are right.
        }
    }

    private static void entries(Ledger ledger, Model model, RandomGenerator chance, long number) {
        List<Entry.Kind> kinds = new ArrayList<>();
        List<Long> numbers = new ArrayList<>();
        for (int i = chance.nextInt(3); i >= 0; i--) {
            Entry.Kind kind = Entry.Kind.values()[chance.nextInt(Entry.Kind.values().length)];
            kinds.add(kind);
            numbers.add(
                    kind == Entry.Kind.HELD || kind == Entry.Kind.FREED
                            ? chance.nextInt(NODES)
                            : number);
        }
        boolean kept = true;
        try {
            ledger.enter(kinds, numbers);
        } catch (IOException e) {
            kept = false;
        }
        for (int i = 0; i < kinds.size(); i++) {
            model.tried(kinds.get(i), numbers.get(i), kept);
        }
    }

    /**
     * Whatever stands on the disk, reading it gives a state or a refusal; any other exception comes
     * out.
     */
    public static void rot(long seed) {
        RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        SimulatedDisk disk = new SimulatedDisk(chance);
        Ledger ledger = opened(disk, seed);
        Model model = new Model();
        for (int i = 1; i < 12; i++) {
            entries(ledger, model, chance, i);
            if (chance.nextBoolean()) {
                snapshot(ledger, model, i);
            }
        }
        for (int i = 0; i < 20; i++) {
            disk.rot();
            opened(disk, seed);
        }
        try {
            for (String name : disk.names()) {
                byte[] noise = new byte[chance.nextInt(200)];
                chance.nextBytes(noise);
                disk.write(name, noise);
            }
        } catch (IOException e) {
            throw new IllegalStateException("seed " + seed, e);
        }
        opened(disk, seed);
    }
}

package cairnbridge.drill.simulated;

import cairnbridge.store.LogRecord;
import cairnbridge.store.PersistedState;
import cairnbridge.store.WriteAheadLog;
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
    private static final int STEPS = 40;
    private static final int NODES = 6;

    /** What was told and what may have come to the disk all the same. */
    private static final class Model {
        private long life;
        private long epoch;
        private long version;
        private final Set<Long> versions = new HashSet<>(Set.of(0L));
        private final Map<Long, Boolean> held = new TreeMap<>();
        private final Map<Long, Set<Boolean>> maybe = new TreeMap<>();

        void tried(LogRecord.Kind kind, long number, boolean kept) {
            boolean hold =
                    kind == LogRecord.Kind.MAINTENANCE_ON || kind == LogRecord.Kind.MAINTENANCE_OFF;
            if (hold && kept) {
                held.put(number, kind == LogRecord.Kind.MAINTENANCE_ON);
                maybe.remove(number);
            } else if (hold) {
                maybe.computeIfAbsent(number, node -> new HashSet<>())
                        .add(kind == LogRecord.Kind.MAINTENANCE_ON);
            } else if (kept && kind == LogRecord.Kind.GENERATION) {
                life = Math.max(life, number);
            } else if (kept) {
                epoch = Math.max(epoch, number);
            }
        }

        String wrong(PersistedState kept) {
            if (kept.logged().generation() < life || kept.logged().planEpoch() < epoch) {
                return "a life or an epoch went back";
            }
            if (kept.content().endpointList().version() < version
                    || !versions.contains(kept.content().endpointList().version())) {
                return "list " + kept.content().endpointList().version() + " after " + version;
            }
            if (!kept.content()
                    .endpointList()
                    .json()
                    .equals(roster(kept.content().endpointList().version()))) {
                return "a state that was never written whole";
            }
            for (long node = 0; node < NODES; node++) {
                boolean out = kept.logged().nodesInMaintenance().contains(node);
                if (out != held.getOrDefault(node, false)
                        && !maybe.getOrDefault(node, Set.of()).contains(out)) {
                    return "node " + node + " is " + (out ? "out" : "back");
                }
            }
            return "";
        }

        /** What was found counts from now on. */
        void found(PersistedState kept) {
            maybe.clear();
            for (long node = 0; node < NODES; node++) {
                held.put(node, kept.logged().nodesInMaintenance().contains(node));
            }
            life = kept.logged().generation();
            epoch = kept.logged().planEpoch();
            version = kept.content().endpointList().version();
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
            WriteAheadLog ledger = opened(disk, seed);
            String wrong = model.wrong(ledger.state());
            if (!wrong.isEmpty()) {
                throw new IllegalStateException("seed " + seed + ", life " + life + ": " + wrong);
            }
            model.found(ledger.state());
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

    private static WriteAheadLog opened(SimulatedDisk disk, long seed) {
        WriteAheadLog ledger = new WriteAheadLog(disk, "runs");
        try {
            ledger.open();
        } catch (IOException e) {
            throw new IllegalStateException("seed " + seed + ": cannot be read back", e);
        }
        return ledger;
    }

    private static void snapshot(WriteAheadLog ledger, Model model, long number) {
        PersistedState state =
                new PersistedState(
                        "runs",
                        new PersistedState.LoggedState(0, 0, 0, List.of()),
                        new PersistedState.Content(
                                "boot",
                                number,
                                new PersistedState.EndpointList(number, roster(number)),
                                List.of(),
                                new byte[0],
                                PersistedState.NodeTrust.NONE));
        model.versions.add(number);
        try {
            ledger.writeSnapshot(state);
            model.version = number;
        } catch (IOException e) {
            return; // It may stand there whole or not; both are right.
        }
    }

    private static void entries(
            WriteAheadLog ledger, Model model, RandomGenerator chance, long number) {
        List<WriteAheadLog.Change> changes = new ArrayList<>();
        for (int i = chance.nextInt(3); i >= 0; i--) {
            LogRecord.Kind kind =
                    LogRecord.Kind.values()[chance.nextInt(LogRecord.Kind.values().length)];
            boolean maintenance =
                    kind == LogRecord.Kind.MAINTENANCE_ON || kind == LogRecord.Kind.MAINTENANCE_OFF;
            changes.add(
                    new WriteAheadLog.Change(kind, maintenance ? chance.nextInt(NODES) : number));
        }
        boolean kept = true;
        try {
            ledger.append(changes);
        } catch (IOException e) {
            kept = false;
        }
        for (WriteAheadLog.Change change : changes) {
            model.tried(change.kind(), change.value(), kept);
        }
    }

    /**
     * Whatever stands on the disk, reading it gives a state or a refusal; any other exception comes
     * out.
     */
    public static void rot(long seed) {
        RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        SimulatedDisk disk = new SimulatedDisk(chance);
        WriteAheadLog ledger = opened(disk, seed);
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
            for (String name : disk.listFiles()) {
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

package cairnbridge.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.drill.simulated.StoreRuns;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A store's files: what is read back after faults and losses of power. */
class LedgerTest {
    @TempDir Path folder;

    private Ledger.Opened open() throws IOException {
        return new Ledger(new FolderDisk(folder), "c").open();
    }

    private static Kept list(long version) {
        return new Kept(
                "c",
                0,
                "boot",
                5,
                0,
                version,
                "list " + version,
                List.of(),
                0,
                null,
                0,
                0,
                0,
                List.of(),
                List.of());
    }

    @Test
    void whatWasReadBackWasWrittenWholeWhereverThePowerWent() {
        for (long seed = 1; seed <= 4_000; seed++) {
            StoreRuns.lossOfPower(seed);
        }
    }

    @Test
    void anyBytesGiveAStateOrARefusal() {
        for (long seed = 1; seed <= 1_500; seed++) {
            StoreRuns.rot(seed);
        }
    }

    @Test
    void aSnapshotTornAtAnyByteLeavesTheOneBeforeAndItsEntries() throws Exception {
        Ledger ledger = new Ledger(new FolderDisk(folder), "c");
        ledger.open();
        ledger.enter(List.of(Entry.Kind.LIFE, Entry.Kind.HELD), List.of(7L, 3L));
        ledger.snapshot(list(1));
        ledger.enter(List.of(Entry.Kind.EPOCH), List.of(9L));
        ledger.snapshot(list(2));
        Path newest;
        try (var files = Files.list(folder)) {
            newest =
                    files.filter(file -> file.getFileName().toString().startsWith("snapshot-"))
                            .max((a, b) -> Integer.compare(number(a), number(b)))
                            .orElseThrow();
        }
        byte[] whole = Files.readAllBytes(newest);
        assertEquals(2, open().kept().rosterVersion());
        for (int length = 0; length < whole.length; length++) {
            Files.write(newest, Arrays.copyOf(whole, length));
            Kept kept = open().kept();
            assertEquals(1, kept.rosterVersion(), "torn at " + length);
            assertEquals(
                    List.of(7L, 9L, 1L),
                    List.of(kept.life(), kept.epoch(), (long) kept.held().size()));
        }
    }

    private static int number(Path file) {
        return Integer.parseInt(file.getFileName().toString().replaceAll("\\D", ""));
    }

    @Test
    void anEntryTornAtAnyByteHidesNoneThatCameBefore() throws Exception {
        Ledger ledger = new Ledger(new FolderDisk(folder), "c");
        ledger.open();
        ledger.enter(List.of(Entry.Kind.HELD), List.of(1L));
        Path log = folder.resolve("log-1");
        int before = Files.readAllBytes(log).length;
        ledger.enter(List.of(Entry.Kind.HELD), List.of(2L));
        byte[] whole = Files.readAllBytes(log);
        for (int length = before; length < whole.length; length++) {
            Files.write(log, Arrays.copyOf(whole, length));
            assertEquals(List.of(1L), open().kept().held(), "torn at " + length);
        }
    }

    @Test
    void filesOfAnotherClusterSayNothing() throws Exception {
        Ledger other = new Ledger(new FolderDisk(folder), "other");
        other.open();
        other.enter(List.of(Entry.Kind.HELD), List.of(1L));
        other.snapshot(list(4));
        Ledger.Opened mine = open();
        assertEquals(0, mine.kept().rosterVersion());
        assertEquals(List.of(), mine.kept().held());
        assertTrue(
                mine.faults().toString().contains("is of cluster 'other'"),
                mine.faults().toString());
    }

    /** Guards against files that grow for as long as a proxy runs. */
    @Test
    void twoSnapshotsAndTheirLogsStay() throws Exception {
        Ledger ledger = new Ledger(new FolderDisk(folder), "c");
        ledger.open();
        for (int i = 1; i <= 20; i++) {
            ledger.enter(List.of(Entry.Kind.EPOCH), List.of((long) i));
            ledger.snapshot(list(i));
        }
        try (var files = Files.list(folder)) {
            assertEquals(3, files.count());
        }
        assertEquals(20, open().kept().epoch());
    }
}

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

/** Reading snapshots and logs back after torn writes, corruption and power losses. */
class WriteAheadLogTest {
    @TempDir Path folder;

    private WriteAheadLog.Contents open() throws IOException {
        return new WriteAheadLog(new FileStorageDirectory(folder), "c").open();
    }

    private static PersistedState stateWithList(long version) {
        return new PersistedState(
                "c",
                new PersistedState.LoggedState(0, 0, 0, List.of()),
                new PersistedState.Content(
                        "boot",
                        5,
                        new PersistedState.EndpointList(version, "list " + version),
                        List.of(),
                        new byte[0],
                        PersistedState.NodeTrust.NONE));
    }

    @Test
    void onlyCompleteWritesAreReadBackAfterAPowerLossAtAnyPoint() {
        for (long seed = 1; seed <= 4_000; seed++) {
            StoreRuns.lossOfPower(seed);
        }
    }

    @Test
    void corruptFilesGiveAStateOrAFault() {
        for (long seed = 1; seed <= 1_500; seed++) {
            StoreRuns.rot(seed);
        }
    }

    @Test
    void aSnapshotTornAtAnyByteLeavesThePreviousOneAndTheLogRecords() throws Exception {
        WriteAheadLog writeAheadLog = new WriteAheadLog(new FileStorageDirectory(folder), "c");
        writeAheadLog.open();
        writeAheadLog.append(
                List.of(
                        new WriteAheadLog.Change(LogRecord.Kind.GENERATION, 7L),
                        new WriteAheadLog.Change(LogRecord.Kind.MAINTENANCE_ON, 3L)));
        writeAheadLog.writeSnapshot(stateWithList(1));
        writeAheadLog.append(List.of(new WriteAheadLog.Change(LogRecord.Kind.PLAN_EPOCH, 9L)));
        writeAheadLog.writeSnapshot(stateWithList(2));
        Path newest;
        try (var files = Files.list(folder)) {
            newest =
                    files.filter(file -> file.getFileName().toString().startsWith("snapshot-"))
                            .max((a, b) -> Integer.compare(number(a), number(b)))
                            .orElseThrow();
        }
        byte[] complete = Files.readAllBytes(newest);
        assertEquals(2, open().state().content().endpointList().version());
        for (int length = 0; length < complete.length; length++) {
            Files.write(newest, Arrays.copyOf(complete, length));
            PersistedState restored = open().state();
            assertEquals(1, restored.content().endpointList().version(), "torn at " + length);
            assertEquals(
                    List.of(7L, 9L, 1L),
                    List.of(
                            restored.logged().generation(),
                            restored.logged().planEpoch(),
                            (long) restored.logged().nodesInMaintenance().size()));
        }
    }

    private static int number(Path file) {
        return Integer.parseInt(file.getFileName().toString().replaceAll("\\D", ""));
    }

    @Test
    void aLogRecordTornAtAnyByteHidesNoEarlierRecord() throws Exception {
        WriteAheadLog writeAheadLog = new WriteAheadLog(new FileStorageDirectory(folder), "c");
        writeAheadLog.open();
        writeAheadLog.append(List.of(new WriteAheadLog.Change(LogRecord.Kind.MAINTENANCE_ON, 1L)));
        Path logFile = folder.resolve("log-1");
        int lengthOfFirst = Files.readAllBytes(logFile).length;
        writeAheadLog.append(List.of(new WriteAheadLog.Change(LogRecord.Kind.MAINTENANCE_ON, 2L)));
        byte[] complete = Files.readAllBytes(logFile);
        for (int length = lengthOfFirst; length < complete.length; length++) {
            Files.write(logFile, Arrays.copyOf(complete, length));
            assertEquals(
                    List.of(1L), open().state().logged().nodesInMaintenance(), "torn at " + length);
        }
    }

    @Test
    void filesOfAnotherClusterAreIgnored() throws Exception {
        WriteAheadLog other = new WriteAheadLog(new FileStorageDirectory(folder), "other");
        other.open();
        other.append(List.of(new WriteAheadLog.Change(LogRecord.Kind.MAINTENANCE_ON, 1L)));
        other.writeSnapshot(stateWithList(4));
        WriteAheadLog.Contents contents = open();
        assertEquals(0, contents.state().content().endpointList().version());
        assertEquals(List.of(), contents.state().logged().nodesInMaintenance());
        assertTrue(
                contents.faults().toString().contains("is of cluster 'other'"),
                contents.faults().toString());
    }

    /** Guards against files that accumulate for as long as a proxy runs. */
    @Test
    void onlyTwoSnapshotsAndTheLogsAfterThemAreRetained() throws Exception {
        WriteAheadLog writeAheadLog = new WriteAheadLog(new FileStorageDirectory(folder), "c");
        writeAheadLog.open();
        for (int i = 1; i <= 20; i++) {
            writeAheadLog.append(
                    List.of(new WriteAheadLog.Change(LogRecord.Kind.PLAN_EPOCH, (long) i)));
            writeAheadLog.writeSnapshot(stateWithList(i));
        }
        try (var files = Files.list(folder)) {
            assertEquals(3, files.count());
        }
        assertEquals(20, open().state().logged().planEpoch());
    }
}

package cairnbridge.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import cairnbridge.Fixtures;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a change of the stored format: files that an earlier version wrote are read, and
 * the same changes and snapshots are written as the same bytes.
 */
class StoreFormatTest {
    private static final String[] FILES = {"snapshot-2", "log-3", "snapshot-4", "log-5"};
    @TempDir Path folder;

    private static PersistedState state(long version) {
        return new PersistedState(
                "fixture-cluster",
                new PersistedState.LoggedState(0, 5, 6, List.of()),
                new PersistedState.Content(
                        "0f3c5b1e-boot",
                        1_700_000_123_456L,
                        new PersistedState.EndpointList(
                                version, "{\"rev\":" + version + ",\"all\":true,\"targets\":[]}"),
                        List.of(
                                new PersistedState.Peer(
                                        "proxy-b", "10.0.0.2:7946", 1_700_000_000_500L, 3, true),
                                new PersistedState.Peer("proxy-c", "[fd00::3]:7946", 9, 0, false)),
                        new byte[] {1, 2, 3, -4},
                        new PersistedState.NodeTrust(
                                17_000_001_234_560L,
                                123.5,
                                77.25,
                                List.of(
                                        new PersistedState.Node(-7, 1_699_999_999_000L, 0.5),
                                        new PersistedState.Node(8, 0, 1)))));
    }

    @Test
    void filesOfAnEarlierVersionAreRead() throws Exception {
        Fixtures.copy("store", folder, FILES);

        WriteAheadLog.Contents contents =
                new WriteAheadLog(new FileStorageDirectory(folder), "fixture-cluster").open();

        assertEquals(List.of(), contents.faults());
        PersistedState read = contents.state();
        assertEquals(42, read.content().endpointList().version());
        assertEquals(
                state(42).content().endpointList().json(), read.content().endpointList().json());
        assertEquals(1_700_000_000_002L, read.logged().generation());
        assertEquals("0f3c5b1e-boot", read.content().bootId());
        assertEquals(1_700_000_123_456L, read.content().writtenAtMillis());
        assertEquals(7, read.logged().sequence());
        assertEquals(state(42).content().peers(), read.content().peers());
        assertEquals(7, read.logged().planEpoch());
        assertArrayEquals(new byte[] {1, 2, 3, -4}, read.content().encodedPlan());
        assertEquals(17_000_001_234_560L, read.content().nodeTrust().recordedAt());
        assertEquals(123.5, read.content().nodeTrust().originLatency());
        assertEquals(77.25, read.content().nodeTrust().sendRate());
        assertEquals(state(42).content().nodeTrust().nodes(), read.content().nodeTrust().nodes());
        assertEquals(List.of(-42L, 99L), read.logged().nodesInMaintenance());
    }

    @Test
    void theSameStateIsWrittenAsTheSameBytes() throws Exception {
        WriteAheadLog writeAheadLog =
                new WriteAheadLog(new FileStorageDirectory(folder), "fixture-cluster");
        writeAheadLog.open();
        writeAheadLog.append(
                List.of(
                        new WriteAheadLog.Change(LogRecord.Kind.GENERATION, 1_700_000_000_001L),
                        new WriteAheadLog.Change(LogRecord.Kind.MAINTENANCE_ON, 0x1fL),
                        new WriteAheadLog.Change(LogRecord.Kind.MAINTENANCE_ON, -42L)));
        writeAheadLog.writeSnapshot(state(41));
        writeAheadLog.append(
                List.of(
                        new WriteAheadLog.Change(LogRecord.Kind.PLAN_EPOCH, 7L),
                        new WriteAheadLog.Change(LogRecord.Kind.MAINTENANCE_OFF, 0x1fL)));
        writeAheadLog.writeSnapshot(state(42));
        writeAheadLog.append(List.of(new WriteAheadLog.Change(LogRecord.Kind.MAINTENANCE_ON, 99L)));
        writeAheadLog.append(
                List.of(new WriteAheadLog.Change(LogRecord.Kind.GENERATION, 1_700_000_000_002L)));

        for (String name : FILES) {
            assertArrayEquals(
                    Fixtures.bytes("store/" + name),
                    Files.readAllBytes(folder.resolve(name)),
                    name);
        }
        try (var files = Files.list(folder)) {
            assertEquals(FILES.length, files.count());
        }
    }
}

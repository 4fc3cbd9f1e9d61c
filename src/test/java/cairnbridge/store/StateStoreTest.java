package cairnbridge.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A state store on a working disk, on a full one and on one that hangs. */
@Timeout(60)
class StateStoreTest {
    @TempDir Path folder;
    private final ConcurrentLinkedQueue<String> log = new ConcurrentLinkedQueue<>();

    private StateStore store(StorageDirectory disk) {
        return new StateStore(new StoreSettings(folder, "c", 50, 1_000_000), disk, log::add);
    }

    /** Delegates to another directory, and can be made to hang or to fail as a full disk does. */
    private static final class FaultyDirectory implements StorageDirectory {
        final StorageDirectory delegate;
        volatile boolean full;
        volatile CountDownLatch releaseLatch = new CountDownLatch(0);

        FaultyDirectory(StorageDirectory delegate) {
            this.delegate = delegate;
        }

        private void awaitReleaseAndCheckSpace() throws IOException {
            try {
                releaseLatch.await();
            } catch (InterruptedException e) {
                throw new IOException("interrupted", e);
            }
            if (full) {
                throw new IOException("No space left on device");
            }
        }

        @Override
        public List<String> listFiles() throws IOException {
            awaitRelease();
            return delegate.listFiles();
        }

        private void awaitRelease() throws IOException {
            boolean wasFull = full;
            full = false;
            awaitReleaseAndCheckSpace();
            full = wasFull;
        }

        @Override
        public byte[] read(String name) throws IOException {
            return delegate.read(name);
        }

        @Override
        public void write(String name, byte[] bytes) throws IOException {
            awaitReleaseAndCheckSpace();
            delegate.write(name, bytes);
        }

        @Override
        public void append(String name, byte[] bytes) throws IOException {
            awaitReleaseAndCheckSpace();
            delegate.append(name, bytes);
        }

        @Override
        public void sync(String name) throws IOException {
            awaitReleaseAndCheckSpace();
            delegate.sync(name);
        }

        @Override
        public void rename(String from, String to) throws IOException {
            delegate.rename(from, to);
        }

        @Override
        public void syncDirectory() throws IOException {
            delegate.syncDirectory();
        }

        @Override
        public void delete(String name) throws IOException {
            delegate.delete(name);
        }
    }

    private static PersistedState state(long version) {
        return new PersistedState(
                "c",
                new PersistedState.LoggedState(0, 0, 0, List.of()),
                new PersistedState.Content(
                        "boot",
                        5,
                        new PersistedState.EndpointList(version, "list"),
                        List.of(),
                        new byte[0],
                        PersistedState.NodeTrust.NONE));
    }

    @Test
    void persistedStateIsReadAtTheNextStart() throws Exception {
        StateStore store = store(new FileStorageDirectory(folder));
        assertEquals(0, store.start(5_000).orElseThrow().logged().generation());
        store.setSnapshotSource(() -> Optional.of(state(4)));
        assertTrue(store.append(LogRecord.Kind.GENERATION, 11).get(5, TimeUnit.SECONDS));
        assertTrue(store.append(LogRecord.Kind.MAINTENANCE_ON, 3).get(5, TimeUnit.SECONDS));
        store.stop();
        PersistedState restored =
                store(new FileStorageDirectory(folder)).start(5_000).orElseThrow();
        assertEquals(
                List.of(11L, 4L, 3L),
                List.of(
                        restored.logged().generation(),
                        restored.content().endpointList().version(),
                        restored.logged().nodesInMaintenance().get(0)));
    }

    @Test
    void aFullDiskIsLoggedOnceAndItsRecoveryOnce() throws Exception {
        FaultyDirectory disk = new FaultyDirectory(new FileStorageDirectory(folder));
        StateStore store = store(disk);
        store.start(5_000);
        disk.full = true;
        for (int i = 0; i < 5; i++) {
            assertFalse(store.append(LogRecord.Kind.MAINTENANCE_ON, i).get(5, TimeUnit.SECONDS));
        }
        assertFalse(store.isHealthy());
        disk.full = false;
        assertTrue(store.append(LogRecord.Kind.MAINTENANCE_ON, 9).get(5, TimeUnit.SECONDS));
        store.stop();
        assertEquals(
                1,
                log.stream().filter(line -> line.contains("nothing is persisted")).count(),
                log.toString());
        assertEquals(
                1,
                log.stream().filter(line -> line.contains("works again")).count(),
                log.toString());
        assertEquals(
                List.of(9L),
                store(new FileStorageDirectory(folder))
                        .start(5_000)
                        .orElseThrow()
                        .logged()
                        .nodesInMaintenance());
    }

    /** Guards against a start, a request or an operator's call that blocks while the disk hangs. */
    @Test
    void aHangingDiskBlocksNoCaller() throws Exception {
        FaultyDirectory disk = new FaultyDirectory(new FileStorageDirectory(folder));
        disk.releaseLatch = new CountDownLatch(1);
        StateStore store = store(disk);
        assertTrue(store.start(100).isEmpty());
        long start = System.nanoTime();
        CompletableFuture<Boolean> stored = store.append(LogRecord.Kind.MAINTENANCE_ON, 5);
        for (int i = 0; i < 3_000; i++) {
            CompletableFuture<Boolean> unused = store.append(LogRecord.Kind.PLAN_EPOCH, i);
        }
        assertTrue(System.nanoTime() - start < 1_000_000_000L);
        assertFalse(stored.isDone());
        Thread.sleep(1_100);
        store.checkDisk();
        store.checkDisk();
        assertEquals(
                1, log.stream().filter(line -> line.contains("has not answered for 1 s")).count());
        CountDownLatch openedLate = new CountDownLatch(1);
        store.whenOpened(state -> openedLate.countDown());
        disk.releaseLatch.countDown();
        assertTrue(openedLate.await(5, TimeUnit.SECONDS));
        assertTrue(stored.get(5, TimeUnit.SECONDS));
        store.stop();
    }
}

package cairnbridge.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Persists a proxy's state on a thread of its own, which alone waits for the disk. Start it, use
 * what it has read, then append changes before they are announced and set where snapshots come
 * from. All methods may be called by any thread.
 *
 * <p>A disk that is full, read-only or slow is logged once and blocks nobody: the future of a
 * change is then false.
 */
public final class StateStore {
    private static final String THREAD = "store";
    private static final int MAX_PENDING_CHANGES = 1_024;
    private static final long SLOW_OPERATION_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long RETRY_MILLIS = 1_000;
    private static final long STOP_MILLIS = 1_500;

    /** Changes are waited for this part of the snapshot interval. */
    private static final int POLLS_PER_INTERVAL = 4;

    private record PendingChange(WriteAheadLog.Change change, CompletableFuture<Boolean> done) {}

    private final StoreSettings settings;
    private final WriteAheadLog writeAheadLog;
    private final Consumer<String> log;
    private final BlockingQueue<PendingChange> pending =
            new ArrayBlockingQueue<>(MAX_PENDING_CHANGES);
    private final CompletableFuture<PersistedState> opened = new CompletableFuture<>();
    private final StoreMetrics metrics = new StoreMetrics();
    private final Thread thread = new Thread(this::run, THREAD);
    private volatile Supplier<Optional<PersistedState>> snapshotSource = Optional::empty;

    /** When the operation that the disk has not finished began; 0 if there is none. */
    private volatile long operationStartedAt;

    private volatile boolean stopped;
    private volatile boolean slow;
    private volatile boolean failing;

    // The rest belongs to the store's thread.
    private boolean logOpened;
    private Optional<PersistedState> lastSnapshot = Optional.empty();
    private long snapshotAtMillis;

    /** A store; the log takes messages for operators from any thread. */
    public StateStore(StoreSettings settings, StorageDirectory directory, Consumer<String> log) {
        this.settings = settings;
        this.log = log;
        writeAheadLog = new WriteAheadLog(directory, settings.cluster());
        thread.setDaemon(true);
    }

    /**
     * Starts the thread and returns the state that was persisted; empty if reading takes longer or
     * fails.
     */
    public Optional<PersistedState> start(long maxMillis) throws InterruptedException {
        thread.start();
        try {
            return Optional.of(opened.get(maxMillis, TimeUnit.MILLISECONDS));
        } catch (TimeoutException e) {
            log.accept(
                    "store: the disk has not answered for "
                            + maxMillis
                            + " ms, this start goes without it");
            return Optional.empty();
        } catch (ExecutionException e) {
            return Optional.empty();
        }
    }

    /** Has a callback run once the state has been read, however late. */
    public void whenOpened(Consumer<PersistedState> callback) {
        CompletableFuture<Void> unused = opened.thenAccept(callback);
    }

    /**
     * Sets where snapshots come from. It is called on the store's thread, and gives nothing while
     * there is nothing to persist.
     */
    public void snapshotFrom(Supplier<Optional<PersistedState>> source) {
        snapshotSource = source;
    }

    /**
     * Appends a change, without blocking. The result is true once it survives a power loss, and
     * false if it cannot be stored.
     */
    public CompletableFuture<Boolean> append(LogRecord.Kind kind, long value) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        WriteAheadLog.Change change = new WriteAheadLog.Change(kind, value);
        if (stopped || !pending.offer(new PendingChange(change, done))) {
            done.complete(false);
        }
        return done;
    }

    /** Logs once that the disk is slow; to be called now and then. */
    public void checkDisk() {
        long since = operationStartedAt;
        if (since != 0 && System.nanoTime() - since > SLOW_OPERATION_NANOS && !slow) {
            slow = true;
            metrics.countFault();
            log.accept(
                    "store: the disk has not answered for 1 s; nothing is persisted meanwhile,"
                            + " requests go on");
        }
    }

    /** Whether the disk works. */
    public boolean isHealthy() {
        return !failing && !slow;
    }

    /** What the store has done. */
    public StoreMetrics metrics() {
        return metrics;
    }

    /** Writes a last snapshot, if the disk does it soon, and ends. */
    public void stop() throws InterruptedException {
        stopped = true;
        thread.interrupt();
        thread.join(STOP_MILLIS);
    }

    // The store's thread.

    private interface DiskOperation {
        void run() throws IOException;
    }

    /** Runs an operation; false if it failed. */
    private boolean runOperation(DiskOperation operation) {
        long start = System.nanoTime();
        operationStartedAt = start;
        try {
            operation.run();
            recordSuccess();
            return true;
        } catch (IOException e) {
            recordFailure(e);
            return false;
        } finally {
            operationStartedAt = 0;
            metrics.countOperation(System.nanoTime() - start);
        }
    }

    private void recordSuccess() {
        if (failing || slow) {
            failing = false;
            slow = false;
            log.accept("store: the disk works again");
        }
    }

    private void recordFailure(IOException fault) {
        metrics.countFault();
        if (!failing) {
            failing = true;
            log.accept("store: nothing is persisted, requests go on: " + fault);
        }
    }

    private void run() {
        while (!stopped) {
            try {
                runOnce();
            } catch (InterruptedException e) {
                break; // The end: what is pending is stored below.
            } catch (RuntimeException e) {
                // A fault of the program must not end what persists its state.
                log.accept("store: " + e);
            }
        }
        finish();
    }

    private void finish() {
        // Guards against the interrupt that ended the wait: it would close the files under the last
        // writes.
        Thread.interrupted();
        if (logOpened) {
            appendPending(new ArrayList<>());
            writeSnapshot();
        }
        rejectPending();
    }

    private void runOnce() throws InterruptedException {
        if (!logOpened) {
            logOpened = runOperation(this::open);
            if (!logOpened) {
                rejectPending();
                Thread.sleep(RETRY_MILLIS);
                return;
            }
        }
        long waitMillis = settings.snapshotIntervalMillis() / POLLS_PER_INTERVAL + 1;
        PendingChange first = pending.poll(waitMillis, TimeUnit.MILLISECONDS);
        if (first != null) {
            List<PendingChange> batch = new ArrayList<>();
            batch.add(first);
            appendPending(batch);
        }
        writeSnapshotIfDue();
    }

    private void open() throws IOException {
        WriteAheadLog.Contents contents = writeAheadLog.open();
        contents.faults().forEach(fault -> log.accept("store: cannot be used: " + fault));
        opened.complete(contents.state());
    }

    private void rejectPending() {
        List<PendingChange> batch = new ArrayList<>();
        pending.drainTo(batch);
        batch.forEach(each -> each.done().complete(false));
    }

    /** Appends a batch and everything else that is pending, with one wait for the disk. */
    private void appendPending(List<PendingChange> batch) {
        pending.drainTo(batch);
        if (batch.isEmpty()) {
            return;
        }
        List<WriteAheadLog.Change> changes = batch.stream().map(PendingChange::change).toList();
        boolean stored = runOperation(() -> writeAheadLog.append(changes));
        if (stored) {
            metrics.countRecords(batch.size());
        }
        batch.forEach(each -> each.done().complete(stored));
    }

    private void writeSnapshotIfDue() {
        long byteLimitMillis =
                TimeUnit.SECONDS.toMillis(writeAheadLog.snapshotBytes())
                        / settings.maxSnapshotBytesPerSecond();
        long interval = Math.max(settings.snapshotIntervalMillis(), byteLimitMillis);
        long now = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        if (now - snapshotAtMillis >= interval) {
            snapshotAtMillis = now;
            writeSnapshot();
        }
    }

    private void writeSnapshot() {
        Optional<PersistedState> state = snapshotSource.get();
        if (state.isEmpty() || lastSnapshot.filter(state.get()::hasSameContentAs).isPresent()) {
            return;
        }
        if (runOperation(() -> writeAheadLog.writeSnapshot(state.get()))) {
            lastSnapshot = state;
            metrics.countSnapshot(writeAheadLog.snapshotBytes());
        }
    }
}

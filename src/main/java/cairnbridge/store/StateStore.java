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
 * Persists a proxy's state on a dedicated thread, the only one that blocks on disk I/O. {@link
 * #start} returns the state that was persisted. After that, the caller sets the source of snapshots
 * with {@link #setSnapshotSource} and appends each change before it acknowledges the change to
 * others. Thread-safe.
 *
 * <p>A full, read-only or slow disk blocks no caller and is logged once per outage. The futures of
 * changes complete with false while writes fail, and later than usual while the disk is slow.
 */
public final class StateStore {
    private static final String THREAD = "store";
    private static final int MAX_PENDING_CHANGES = 1_024;
    private static final long SLOW_OPERATION_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long RETRY_MILLIS = 1_000;
    private static final long STOP_MILLIS = 1_500;

    /** How often per snapshot interval the thread checks whether a snapshot is due. */
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

    /** Start of the disk operation in progress, by {@code nanoTime}; 0 if there is none. */
    private volatile long operationStartedAt;

    private volatile boolean stopped;
    private volatile boolean slow;
    private volatile boolean failing;

    // The remaining fields are used by the store's thread only.
    private boolean logOpened;
    private Optional<PersistedState> lastSnapshot = Optional.empty();
    private long snapshotAtMillis;

    /**
     * Creates a store, which does nothing before {@link #start}.
     *
     * @param log receives messages for operators; called by several threads
     */
    public StateStore(StoreSettings settings, StorageDirectory directory, Consumer<String> log) {
        this.settings = settings;
        this.log = log;
        writeAheadLog = new WriteAheadLog(directory, settings.cluster());
        thread.setDaemon(true);
    }

    /**
     * Starts the thread and waits until it has read the persisted state. Empty if this takes longer
     * than the limit; the thread then goes on reading, see {@link #whenOpened}.
     */
    public Optional<PersistedState> start(long maxMillis) throws InterruptedException {
        thread.start();
        try {
            return Optional.of(opened.get(maxMillis, TimeUnit.MILLISECONDS));
        } catch (TimeoutException e) {
            log.accept(
                    "store: the disk has not answered for "
                            + maxMillis
                            + " ms, starting without persisted state");
            return Optional.empty();
        } catch (ExecutionException e) {
            return Optional.empty();
        }
    }

    /** Runs a callback when the state has been read, even if {@link #start} did not wait for it. */
    public void whenOpened(Consumer<PersistedState> callback) {
        CompletableFuture<Void> unused = opened.thenAccept(callback);
    }

    /**
     * Sets the supplier of snapshots. The store's thread calls it, and writes no snapshot while it
     * returns empty.
     */
    public void setSnapshotSource(Supplier<Optional<PersistedState>> source) {
        snapshotSource = source;
    }

    /**
     * Appends a change without blocking. The future completes with true once the change survives a
     * power loss, and with false if the write failed, too many changes are pending or the store is
     * stopped.
     */
    public CompletableFuture<Boolean> append(LogRecord.Kind kind, long value) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        WriteAheadLog.Change change = new WriteAheadLog.Change(kind, value);
        if (stopped || !pending.offer(new PendingChange(change, done))) {
            done.complete(false);
        }
        return done;
    }

    /** Logs a disk operation that takes longer than a second, once; to be called regularly. */
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

    /** Whether the last disk operation succeeded and the current one is not reported as slow. */
    public boolean isHealthy() {
        return !failing && !slow;
    }

    /** Counters and timings of this store's disk operations. */
    public StoreMetrics metrics() {
        return metrics;
    }

    /**
     * Stores pending changes, writes a last snapshot and ends the thread. Returns after a limited
     * time even if the disk has not finished.
     */
    public void stop() throws InterruptedException {
        stopped = true;
        thread.interrupt();
        thread.join(STOP_MILLIS);
    }

    // Methods of the store's thread.

    private interface DiskOperation {
        void run() throws IOException;
    }

    /** Runs a disk operation and records its result and duration; returns false if it failed. */
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
                break; // stop() was called; finish() stores the pending changes.
            } catch (RuntimeException e) {
                // Guards against a bug that ends this thread: nothing would be persisted after it.
                log.accept("store: " + e);
            }
        }
        finish();
    }

    private void finish() {
        // Guards against the interrupt with which stop() ended the wait: if it stays set, the file
        // channels are closed during the last writes.
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

    /** Appends the batch and all other pending changes with a single sync of the disk. */
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
        long intervalMillis = Math.max(settings.snapshotIntervalMillis(), byteLimitMillis);
        long nowMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        if (nowMillis - snapshotAtMillis >= intervalMillis) {
            snapshotAtMillis = nowMillis;
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

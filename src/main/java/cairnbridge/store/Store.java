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
 * Keeps a proxy's state over a loss of power, on a thread of its own that alone waits for the disk.
 * Make one, start it, take what it had; then have entries kept before they are told, and say whence
 * snapshots come. A disk that is full, read-only or slow is said once and holds nobody up: an
 * entry's future is false then.
 */
public final class Store {
    private static final int MOST_WAITING = 1_024;
    private static final long SLOW_NANOS = 1_000_000_000L,
            RETRY_MILLIS = 1_000,
            LAST_MILLIS = 1_500;

    private record Waiting(Entry.Kind kind, long number, CompletableFuture<Boolean> done) {}

    private final StoreSettings settings;
    private final Ledger ledger;
    private final Consumer<String> log;
    private final BlockingQueue<Waiting> waiting = new ArrayBlockingQueue<>(MOST_WAITING);
    private final CompletableFuture<Ledger.Opened> opened = new CompletableFuture<>();
    private final StoreFigures figures = new StoreFigures();
    private final Thread thread = new Thread(this::run, "store");
    private volatile Supplier<Optional<Kept>> source = Optional::empty;

    /** When the disk was last asked for something it has not done yet; 0 where it was not. */
    private volatile long askedAt;

    private volatile boolean stopped, slow, ill;
    private boolean ready;
    private Kept last;
    private long snapshotAt;

    /** log takes a line for staff, from any thread. */
    public Store(StoreSettings settings, Disk disk, Consumer<String> log) {
        this.settings = settings;
        this.log = log;
        ledger = new Ledger(disk, settings.cluster());
        thread.setDaemon(true);
    }

    /** Reads back; empty where that takes longer, so that a start waits for no disk. */
    public Optional<Kept> start(long mostMillis) throws InterruptedException {
        thread.start();
        try {
            return Optional.of(opened.get(mostMillis, TimeUnit.MILLISECONDS).kept());
        } catch (TimeoutException e) {
            log.accept(
                    "store: the disk has not answered for "
                            + mostMillis
                            + " ms, this start goes without it");
            return Optional.empty();
        } catch (ExecutionException e) {
            return Optional.empty();
        }
    }

    /** Told once the folder has been read, however late. */
    public void whenOpened(Consumer<Kept> then) {
        opened.thenAccept(found -> then.accept(found.kept()));
    }

    /**
     * Where snapshots come from; asked on the store's thread, empty while there is nothing to keep.
     */
    public void keepsFrom(Supplier<Optional<Kept>> from) {
        source = from;
    }

    /**
     * True once the entry outlives a loss of power, false where it cannot be kept. Waits for
     * nothing.
     */
    public CompletableFuture<Boolean> keep(Entry.Kind kind, long number) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        if (stopped || !waiting.offer(new Waiting(kind, number, done))) {
            done.complete(false);
        }
        return done;
    }

    /** To be called now and then, by any thread: says once that the disk is slow. */
    public void look() {
        long since = askedAt;
        if (since != 0 && System.nanoTime() - since > SLOW_NANOS && !slow) {
            slow = true;
            figures.faults.increment();
            log.accept(
                    "store: the disk has not answered for 1 s; nothing is kept meanwhile, ops go"
                            + " on");
        }
    }

    public boolean isWell() {
        return !ill && !slow;
    }

    public StoreFigures figures() {
        return figures;
    }

    /** A last snapshot, if the disk does it soon, and the end. */
    public void stop() throws InterruptedException {
        stopped = true;
        thread.interrupt();
        thread.join(LAST_MILLIS);
    }

    private interface Work {
        void run() throws IOException;
    }

    private boolean does(Work work) {
        long from = System.nanoTime();
        askedAt = from;
        try {
            work.run();
            if (ill || slow) {
                ill = false;
                slow = false;
                log.accept("store: the disk keeps again");
            }
            return true;
        } catch (IOException e) {
            figures.faults.increment();
            if (!ill) {
                ill = true;
                log.accept("store: nothing is kept, ops go on: " + e);
            }
            return false;
        } finally {
            askedAt = 0;
            long took = (System.nanoTime() - from) / 1_000;
            figures.busyMicros.add(took);
            figures.slowestMicros = Math.max(figures.slowestMicros, took);
        }
    }

    private void run() {
        while (!stopped) {
            try {
                turn();
            } catch (InterruptedException e) {
                break; // The end: what waits is done below.
            } catch (RuntimeException e) {
                log.accept("store: " + e);
            }
        }
        // Guards against the interrupt that ended the wait: it would shut the files under the last
        // words.
        Thread.interrupted();
        if (ready) {
            entries(new ArrayList<>());
            snapshot();
        }
        List<Waiting> left = new ArrayList<>();
        waiting.drainTo(left);
        left.forEach(each -> each.done().complete(false));
    }

    private void turn() throws InterruptedException {
        if (!ready) {
            ready = does(this::open);
            if (!ready) {
                refuse();
                Thread.sleep(RETRY_MILLIS);
                return;
            }
        }
        Waiting first = waiting.poll(settings.snapshotEvery() / 4 + 1, TimeUnit.MILLISECONDS);
        if (first != null) {
            List<Waiting> batch = new ArrayList<>();
            batch.add(first);
            entries(batch);
        }
        long bytesMillis = 1_000 * ledger.snapshotBytes() / settings.bytesPerSecond();
        long now = System.nanoTime() / 1_000_000;
        if (now - snapshotAt >= Math.max(settings.snapshotEvery(), bytesMillis)) {
            snapshotAt = now;
            snapshot();
        }
    }

    private void open() throws IOException {
        Ledger.Opened found = ledger.open();
        found.faults().forEach(fault -> log.accept("store: cannot be used: " + fault));
        opened.complete(found);
    }

    private void refuse() {
        List<Waiting> batch = new ArrayList<>();
        waiting.drainTo(batch);
        batch.forEach(each -> each.done().complete(false));
    }

    /** All that wait, with one wait for the disk. */
    private void entries(List<Waiting> batch) {
        waiting.drainTo(batch);
        if (batch.isEmpty()) {
            return;
        }
        boolean kept =
                does(
                        () ->
                                ledger.enter(
                                        batch.stream().map(Waiting::kind).toList(),
                                        batch.stream().map(Waiting::number).toList()));
        if (kept) {
            figures.entries.add(batch.size());
        }
        batch.forEach(each -> each.done().complete(kept));
    }

    private void snapshot() {
        Optional<Kept> state = source.get();
        if (state.isEmpty() || state.get().sameAs(last)) {
            return;
        }
        if (does(() -> ledger.snapshot(state.get()))) {
            last = state.get();
            figures.snapshots.increment();
            figures.bytes.add(ledger.snapshotBytes());
        }
    }
}

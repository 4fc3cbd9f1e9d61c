package cairnbridge.proxy;

import cairnbridge.admin.NotPersistedException;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.hash.Fnv1a;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.logging.Logger;
import java.util.stream.Stream;

/**
 * Which nodes staff have taken out: one marker file a node, in a folder that a process and its
 * successor share, so that both agree with no lock. Changes go to the owner in the order in which
 * they are made.
 */
final class MaintenanceMarks {
    private static final Logger LOG = Logger.getLogger(MaintenanceMarks.class.getName());

    /**
     * How often the marks are looked at, and after how long another process is sure to have seen
     * one.
     */
    static final long REFRESH_MILLIS = 100;

    private static final long SIBLING_REFRESH_MILLIS = 3 * REFRESH_MILLIS;
    private static final long PERSIST_TIMEOUT_MILLIS = 500;
    private static final String MARK_PREFIX = "hold-";
    private static final String HEX_PATTERN = "[0-9a-f]{1,16}";

    private final Optional<Path> folder;
    private final EventQueue eventQueue;
    private final Predicate<NodeId> isListed;
    private final BooleanSupplier hasSiblings;
    private final Set<NodeId> nodesInMaintenance = new HashSet<>();
    private final DeduplicatedLog deduplicatedLog = new DeduplicatedLog(LOG, "maintenance");

    /** Keeps a hold over a loss of power: true once it does. Null where nothing is kept. */
    private BiFunction<NodeId, Boolean, CompletableFuture<Boolean>> persistence;

    /** folder is empty where none is shared: holds then end with the process. */
    MaintenanceMarks(
            Optional<Path> folder,
            EventQueue inbox,
            Predicate<NodeId> listed,
            BooleanSupplier shared) {
        this.hasSiblings = shared;
        this.folder = folder;
        this.eventQueue = inbox;
        this.isListed = listed;
    }

    /**
     * Takes a node out or puts it back; true once the module knows, false where no such node is
     * known.
     */
    synchronized CompletableFuture<Boolean> setMaintenance(String uid, boolean on) {
        NodeId node = new NodeId(Fnv1a.hash(uid));
        if (uid.isEmpty() || !nodesInMaintenance.contains(node) && !isListed.test(node)) {
            return CompletableFuture.completedFuture(false);
        }
        try {
            writeMark(node, on);
        } catch (IOException e) {
            LOG.severe("maintenance: the mark cannot be kept, " + e);
            return CompletableFuture.failedFuture(e);
        }
        LOG.info("maintenance: " + uid + (on ? " is taken out" : " is put back"));
        CompletableFuture<Boolean> done = postChange(node, on);
        if (persistence != null) {
            // Guards against staff who rely on a hold that the next loss of power would undo.
            CompletableFuture<Boolean> kept =
                    persistence
                            .apply(node, on)
                            .completeOnTimeout(
                                    false, PERSIST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            done =
                    done.thenCombine(
                            kept,
                            (taken, sure) -> {
                                if (!sure) {
                                    throw new NotPersistedException();
                                }
                                return taken;
                            });
        }
        // Guards against a push of the other process after this one's yes: it looks a few times a
        // second.
        return !hasSiblings.getAsBoolean()
                ? done
                : done.thenApplyAsync(
                        taken -> taken,
                        CompletableFuture.delayedExecutor(
                                SIBLING_REFRESH_MILLIS, TimeUnit.MILLISECONDS));
    }

    /** Has holds kept over a loss of power; before the first of them. */
    void setPersistence(BiFunction<NodeId, Boolean, CompletableFuture<Boolean>> keeper) {
        persistence = keeper;
    }

    /** Nodes that staff had taken out before a loss of power are out again. */
    synchronized void restore(List<Long> nodes) {
        for (long each : nodes) {
            NodeId node = new NodeId(each);
            try {
                writeMark(node, true);
            } catch (IOException e) {
                deduplicatedLog.warnOnce("the mark cannot be kept, " + e);
            }
            if (!nodesInMaintenance.contains(node)) {
                LOG.info(
                        "maintenance: node "
                                + Long.toHexString(each)
                                + " stays out, as staff had it");
                postChange(node, true);
            }
        }
    }

    /** Nodes that are out. */
    synchronized List<Long> nodesInMaintenance() {
        return nodesInMaintenance.stream().map(NodeId::value).sorted().toList();
    }

    private void writeMark(NodeId node, boolean on) throws IOException {
        if (folder.isEmpty()) {
            return;
        }
        Path mark = folder.get().resolve(MARK_PREFIX + Long.toHexString(node.value()));
        if (!on) {
            Files.deleteIfExists(mark);
        } else if (!Files.exists(mark)) {
            Files.createFile(mark);
        }
    }

    private CompletableFuture<Boolean> postChange(NodeId node, boolean on) {
        if (on) {
            nodesInMaintenance.add(node);
        } else {
            nodesInMaintenance.remove(node);
        }
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        eventQueue.postUrgent(new ProxyEvent.NodeMaintenanceChanged(node, on, done));
        return done;
    }

    private void parseMark(String name, Set<NodeId> marked) {
        if (name.matches(MARK_PREFIX + HEX_PATTERN)) {
            marked.add(
                    new NodeId(Long.parseUnsignedLong(name.substring(MARK_PREFIX.length()), 16)));
        } else {
            deduplicatedLog.warnOnce("no mark of this program's, " + name);
        }
    }

    /** Follows what another process has marked; before the first op, then a few times a second. */
    synchronized void refresh() {
        if (folder.isEmpty()) {
            return;
        }
        Set<NodeId> marked = new HashSet<>();
        // By name alone: a mark that cannot be read, or was half written, holds its node, not frees
        // it.
        try (Stream<Path> files = Files.list(folder.get())) {
            files.map(file -> file.getFileName().toString())
                    .filter(name -> name.startsWith(MARK_PREFIX))
                    .forEach(name -> parseMark(name, marked));
        } catch (IOException | UncheckedIOException e) {
            deduplicatedLog.warnOnce("the marks cannot be read, who is out stays out: " + e);
            return;
        }
        for (NodeId node : marked) {
            if (!nodesInMaintenance.contains(node)) {
                postChange(node, true);
            }
        }
        for (NodeId node : Set.copyOf(nodesInMaintenance)) {
            if (!marked.contains(node)) {
                postChange(node, false);
            }
        }
    }
}

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
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Stream;

/**
 * Which nodes operators have taken into maintenance: one marker file a node, in a folder that a
 * process shares with its successor, so that both agree without a lock. Changes go to the
 * coordinator in the order in which they are made.
 *
 * <p>The admin endpoint sets nodes, the scheduler refreshes, and the store's thread restores; the
 * lock of this object is held by all of them.
 */
final class MaintenanceMarks {
    private static final Logger LOG = Logger.getLogger(MaintenanceMarks.class.getName());

    /** The interval at which each process reads the markers again. */
    static final long REFRESH_MILLIS = 100;

    /** After this time another process has surely read a marker. */
    private static final long SIBLING_REFRESH_MILLIS = 3 * REFRESH_MILLIS;

    private static final long PERSIST_TIMEOUT_MILLIS = 500;
    private static final String MARK_PREFIX = "hold-";
    private static final String HEX_PATTERN = "[0-9a-f]{1,16}";
    private static final int HEX_RADIX = 16;

    private final Optional<Path> sharedFolder;
    private final EventQueue eventQueue;
    private final Predicate<NodeId> isListed;
    private final BooleanSupplier hasSiblings;
    private final Set<NodeId> nodesInMaintenance = new HashSet<>();
    private final DeduplicatedLog deduplicatedLog = new DeduplicatedLog(LOG, "maintenance");
    private MaintenanceStore store = MaintenanceStore.NONE;

    /**
     * Reads no marker yet.
     *
     * @param sharedFolder empty if there is none: then maintenance ends with the process
     * @param isListed whether a node is known, so that it can be taken into maintenance
     * @param hasSiblings whether other processes have to read a change
     */
    MaintenanceMarks(
            Optional<Path> sharedFolder,
            EventQueue eventQueue,
            Predicate<NodeId> isListed,
            BooleanSupplier hasSiblings) {
        this.sharedFolder = sharedFolder;
        this.eventQueue = eventQueue;
        this.isListed = isListed;
        this.hasSiblings = hasSiblings;
    }

    /** Changes are persisted there; to be called before the first of them. */
    void setStore(MaintenanceStore store) {
        this.store = store;
    }

    /**
     * Takes a node into maintenance, or out of it.
     *
     * @return true once that is in force in all processes, false if no such node is known; fails
     *     with the {@link IOException} if the marker cannot be written, and with a {@link
     *     NotPersistedException} if the change is in force but was not persisted
     */
    synchronized CompletableFuture<Boolean> setMaintenance(String nodeUid, boolean enabled) {
        NodeId node = new NodeId(Fnv1a.hash(nodeUid));
        if (nodeUid.isEmpty() || !isKnown(node)) {
            return CompletableFuture.completedFuture(false);
        }
        try {
            writeMark(node, enabled);
        } catch (IOException e) {
            LOG.log(Level.SEVERE, "maintenance: cannot write the marker file: {0}", e.toString());
            return CompletableFuture.failedFuture(e);
        }
        LOG.log(
                Level.INFO,
                "maintenance: node {0} set to {1}",
                new Object[] {nodeUid, enabled ? "on" : "off"});
        CompletableFuture<Boolean> applied = new CompletableFuture<>();
        postChange(node, enabled, applied);
        CompletableFuture<Boolean> persisted = savePersistently(node, enabled);
        CompletableFuture<Boolean> done =
                applied.thenCombine(persisted, MaintenanceMarks::requirePersisted);
        return hasSiblings.getAsBoolean() ? afterSiblingsRefresh(done) : done;
    }

    private boolean isKnown(NodeId node) {
        return nodesInMaintenance.contains(node) || isListed.test(node);
    }

    private CompletableFuture<Boolean> savePersistently(NodeId node, boolean enabled) {
        return store.save(node, enabled)
                .completeOnTimeout(false, PERSIST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Guards against operators who rely on a maintenance state that the next power loss would undo.
     */
    private static boolean requirePersisted(boolean applied, boolean persisted) {
        if (!persisted) {
            throw new NotPersistedException();
        }
        return applied;
    }

    /**
     * Guards against an attempt of the other process after this one has confirmed: it reads the
     * markers a few times a second.
     */
    private static CompletableFuture<Boolean> afterSiblingsRefresh(
            CompletableFuture<Boolean> done) {
        return done.thenApplyAsync(
                applied -> applied,
                CompletableFuture.delayedExecutor(SIBLING_REFRESH_MILLIS, TimeUnit.MILLISECONDS));
    }

    /** Takes the nodes that were in maintenance before a power loss into maintenance again. */
    synchronized void restore(List<Long> nodeIds) {
        for (long nodeId : nodeIds) {
            NodeId node = new NodeId(nodeId);
            try {
                writeMark(node, true);
            } catch (IOException e) {
                deduplicatedLog.warnOnce("cannot write the marker file: {0}", e);
            }
            if (!nodesInMaintenance.contains(node)) {
                LOG.log(
                        Level.INFO,
                        "maintenance: node {0} restored as in maintenance",
                        Long.toHexString(nodeId));
                postChange(node, true, new CompletableFuture<>());
            }
        }
    }

    /** The ids of the nodes in maintenance, sorted. */
    synchronized List<Long> nodesInMaintenance() {
        return nodesInMaintenance.stream().map(NodeId::value).sorted().toList();
    }

    private void writeMark(NodeId node, boolean enabled) throws IOException {
        if (sharedFolder.isEmpty()) {
            return;
        }
        Path mark = sharedFolder.get().resolve(MARK_PREFIX + Long.toHexString(node.value()));
        if (!enabled) {
            Files.deleteIfExists(mark);
        } else if (!Files.exists(mark)) {
            Files.createFile(mark);
        }
    }

    /** Tells the coordinator, which completes the future once it acts on the change. */
    private void postChange(NodeId node, boolean enabled, CompletableFuture<Boolean> applied) {
        if (enabled) {
            nodesInMaintenance.add(node);
        } else {
            nodesInMaintenance.remove(node);
        }
        eventQueue.postUrgent(new ProxyEvent.NodeMaintenanceChanged(node, enabled, applied));
    }

    /** Follows the markers of other processes; before the first request, then periodically. */
    synchronized void refresh() {
        if (sharedFolder.isEmpty()) {
            return;
        }
        Set<NodeId> marked = new HashSet<>();
        try {
            readMarks(sharedFolder.get(), marked);
        } catch (IOException | UncheckedIOException e) {
            deduplicatedLog.warnOnce("cannot read marker files, keeping current state: {0}", e);
            return;
        }
        for (NodeId node : marked) {
            if (!nodesInMaintenance.contains(node)) {
                postChange(node, true, new CompletableFuture<>());
            }
        }
        for (NodeId node : Set.copyOf(nodesInMaintenance)) {
            if (!marked.contains(node)) {
                postChange(node, false, new CompletableFuture<>());
            }
        }
    }

    /**
     * Reads the names of the files alone: a marker that cannot be read, or was half written, takes
     * its node into maintenance, not out of it.
     */
    private void readMarks(Path folder, Set<NodeId> marked) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            files.map(file -> file.getFileName().toString())
                    .filter(name -> name.startsWith(MARK_PREFIX))
                    .forEach(name -> parseMark(name, marked));
        }
    }

    private void parseMark(String name, Set<NodeId> marked) {
        if (name.matches(MARK_PREFIX + HEX_PATTERN)) {
            String nodeId = name.substring(MARK_PREFIX.length());
            marked.add(new NodeId(Long.parseUnsignedLong(nodeId, HEX_RADIX)));
        } else {
            deduplicatedLog.warnOnce("unknown file in the state folder: {0}", name);
        }
    }
}

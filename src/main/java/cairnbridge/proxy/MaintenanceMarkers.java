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
 * The nodes that operators have taken into maintenance. Each node has a marker file in a folder
 * that a process shares with its successor, so that both agree without a lock. The coordinator
 * receives changes in the order in which they are made.
 *
 * <p>The admin endpoint changes nodes, the scheduler refreshes, and the store's thread restores;
 * all of them synchronise on this object.
 */
final class MaintenanceMarkers {
    private static final Logger LOG = Logger.getLogger(MaintenanceMarkers.class.getName());

    /** The interval at which each process reads the marker files. */
    static final long REFRESH_MILLIS = 100;

    /** Within this time every other process has read a new marker file. */
    private static final long SIBLING_REFRESH_MILLIS = 3 * REFRESH_MILLIS;

    private static final long PERSIST_TIMEOUT_MILLIS = 500;
    private static final String MARKER_PREFIX = "hold-";
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
     * Starts without nodes in maintenance; {@link #refresh} reads the marker files.
     *
     * @param sharedFolder empty if there is none: then maintenance ends with the process
     * @param isListed whether a node may be taken into maintenance because it is on the endpoint
     *     list
     * @param hasSiblings whether other processes have to read a change
     */
    MaintenanceMarkers(
            Optional<Path> sharedFolder,
            EventQueue eventQueue,
            Predicate<NodeId> isListed,
            BooleanSupplier hasSiblings) {
        this.sharedFolder = sharedFolder;
        this.eventQueue = eventQueue;
        this.isListed = isListed;
        this.hasSiblings = hasSiblings;
    }

    /** Sets where changes are persisted; to be called before the first change. */
    void setStore(MaintenanceStore store) {
        this.store = store;
    }

    /**
     * Takes a node into maintenance, or out of it.
     *
     * @return true once the change is in force in all processes, false if the node is unknown;
     *     fails with an {@link IOException} if the marker file cannot be written, and with a {@link
     *     NotPersistedException} if the change is in force but was not persisted
     */
    synchronized CompletableFuture<Boolean> setMaintenance(String nodeUid, boolean enabled) {
        NodeId node = new NodeId(Fnv1a.hash(nodeUid));
        if (nodeUid.isEmpty() || !isKnown(node)) {
            return CompletableFuture.completedFuture(false);
        }
        try {
            writeMarker(node, enabled);
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
        CompletableFuture<Boolean> inForceHere =
                applied.thenCombine(persisted, MaintenanceMarkers::requirePersisted);
        return hasSiblings.getAsBoolean() ? afterSiblingsRefresh(inForceHere) : inForceHere;
    }

    private boolean isKnown(NodeId node) {
        return nodesInMaintenance.contains(node) || isListed.test(node);
    }

    private CompletableFuture<Boolean> savePersistently(NodeId node, boolean enabled) {
        return store.save(node, enabled)
                .completeOnTimeout(false, PERSIST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Fails a change that was not persisted. Guards against operators who rely on a maintenance
     * state that the next power loss would undo.
     */
    private static boolean requirePersisted(boolean applied, boolean persisted) {
        if (!persisted) {
            throw new NotPersistedException();
        }
        return applied;
    }

    /**
     * Delays the confirmation until the other processes have read the marker files, which they do
     * every {@link #REFRESH_MILLIS}. Guards against an attempt that another process still sends to
     * the node after this process has confirmed its maintenance.
     */
    private static CompletableFuture<Boolean> afterSiblingsRefresh(
            CompletableFuture<Boolean> inForceHere) {
        return inForceHere.thenApplyAsync(
                applied -> applied,
                CompletableFuture.delayedExecutor(SIBLING_REFRESH_MILLIS, TimeUnit.MILLISECONDS));
    }

    /** Takes nodes that were in maintenance before a power loss back into maintenance. */
    synchronized void restore(List<Long> nodeIds) {
        for (long nodeId : nodeIds) {
            NodeId node = new NodeId(nodeId);
            try {
                writeMarker(node, true);
            } catch (IOException e) {
                deduplicatedLog.warnOnce("cannot write the marker file: {0}", e);
            }
            if (!nodesInMaintenance.contains(node)) {
                LOG.log(
                        Level.INFO,
                        "maintenance: node {0} restored to maintenance",
                        Long.toHexString(nodeId));
                postChange(node, true, new CompletableFuture<>());
            }
        }
    }

    /** The ids of the nodes in maintenance, sorted. */
    synchronized List<Long> nodesInMaintenance() {
        return nodesInMaintenance.stream().map(NodeId::value).sorted().toList();
    }

    private void writeMarker(NodeId node, boolean enabled) throws IOException {
        if (sharedFolder.isEmpty()) {
            return;
        }
        Path marker = sharedFolder.get().resolve(MARKER_PREFIX + Long.toHexString(node.value()));
        if (!enabled) {
            Files.deleteIfExists(marker);
        } else if (!Files.exists(marker)) {
            Files.createFile(marker);
        }
    }

    /** Posts a change to the coordinator, which completes the future once it has applied it. */
    private void postChange(NodeId node, boolean enabled, CompletableFuture<Boolean> applied) {
        if (enabled) {
            nodesInMaintenance.add(node);
        } else {
            nodesInMaintenance.remove(node);
        }
        eventQueue.postUrgent(new ProxyEvent.NodeMaintenanceChanged(node, enabled, applied));
    }

    /** Applies the marker files of other processes; before the first request, then periodically. */
    synchronized void refresh() {
        if (sharedFolder.isEmpty()) {
            return;
        }
        Set<NodeId> markedNodes = new HashSet<>();
        try {
            readMarkers(sharedFolder.get(), markedNodes);
        } catch (IOException | UncheckedIOException e) {
            deduplicatedLog.warnOnce("cannot read marker files, keeping current state: {0}", e);
            return;
        }
        for (NodeId node : markedNodes) {
            if (!nodesInMaintenance.contains(node)) {
                postChange(node, true, new CompletableFuture<>());
            }
        }
        for (NodeId node : Set.copyOf(nodesInMaintenance)) {
            if (!markedNodes.contains(node)) {
                postChange(node, false, new CompletableFuture<>());
            }
        }
    }

    /**
     * Reads only the names of the files. An unreadable or half-written marker file therefore keeps
     * its node in maintenance.
     */
    private void readMarkers(Path folder, Set<NodeId> markedNodes) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            files.map(file -> file.getFileName().toString())
                    .filter(name -> name.startsWith(MARKER_PREFIX))
                    .forEach(name -> parseMarker(name, markedNodes));
        }
    }

    private void parseMarker(String name, Set<NodeId> markedNodes) {
        if (name.matches(MARKER_PREFIX + HEX_PATTERN)) {
            String nodeId = name.substring(MARKER_PREFIX.length());
            markedNodes.add(new NodeId(Long.parseUnsignedLong(nodeId, HEX_RADIX)));
        } else {
            deduplicatedLog.warnOnce("unknown file in the state folder: {0}", name);
        }
    }
}

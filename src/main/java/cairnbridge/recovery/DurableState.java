package cairnbridge.recovery;

import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.WarmStartState;
import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.membership.MembershipView;
import cairnbridge.store.FileStorageDirectory;
import cairnbridge.store.LogRecord;
import cairnbridge.store.PersistedState;
import cairnbridge.store.StateStore;
import cairnbridge.time.Ticks;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/**
 * Gives a proxy access to its persisted state. It is opened before the proxy is created: it reads
 * the state, validates it and persists the generation of this run. Opening waits no longer than 3 s
 * for a slow disk. Thread-safe.
 */
public final class DurableState {
    private static final long MAX_OPEN_MILLIS = 2_000;
    private static final long MAX_GENERATION_MILLIS = 1_000;
    private static final long NO_WAIT_MILLIS = 1;
    private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");

    private final RecoverySettings settings;
    private final StateStore store;
    private final PersistedState persisted;
    private final RestoredState restored;
    private final long generation;
    private final String bootId = readBootId();

    private DurableState(
            RecoverySettings settings, StateStore store, long clockGeneration, Consumer<String> log)
            throws InterruptedException {
        this.settings = settings;
        this.store = store;
        String cluster = settings.store().cluster();
        Optional<PersistedState> opened = store.start(MAX_OPEN_MILLIS);
        persisted = opened.orElse(PersistedState.empty(cluster));
        restored =
                new StateValidator(
                                cluster,
                                bootId,
                                System.currentTimeMillis(),
                                Ticks.toMillis(settings.maxStateAge()))
                        .validate(persisted);
        restored.report().forEach(line -> log.accept("recovery: " + line));
        generation = Math.max(clockGeneration, restored.generation() + 1);
        persistGeneration(opened.isPresent() ? MAX_GENERATION_MILLIS : NO_WAIT_MILLIS);
    }

    /**
     * Opens the persisted state.
     *
     * @param clockGeneration the generation of this run according to the clock; a higher one is
     *     used unless this one is above all persisted generations
     * @param log receives messages for operators; called by several threads
     */
    public static DurableState open(
            RecoverySettings settings, long clockGeneration, Consumer<String> log)
            throws InterruptedException {
        FileStorageDirectory directory = new FileStorageDirectory(settings.store().directory());
        StateStore store = new StateStore(settings.store(), directory, log);
        return new DurableState(settings, store, clockGeneration, log);
    }

    private void persistGeneration(long maxMillis) throws InterruptedException {
        CompletableFuture<Boolean> stored = store.append(LogRecord.Kind.GENERATION, generation);
        try {
            stored.get(maxMillis, TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException e) {
            // The store logs the failure. This generation is then not persisted, so only the
            // machine's clock gives a later run a higher one.
            store.checkDisk();
        }
    }

    /** Reads the kernel's boot id; empty if the kernel has none. */
    private static String readBootId() {
        try {
            return Files.readString(BOOT_ID).strip();
        } catch (IOException e) {
            return "";
        }
    }

    /** The settings of recovery. */
    public RecoverySettings settings() {
        return settings;
    }

    /** The part of the persisted state that may be used. */
    public RestoredState restored() {
        return restored;
    }

    /** The generation of this run, higher than any persisted one. */
    public long generation() {
        return generation;
    }

    /** The kernel's boot id, which differs after each boot of the machine; empty if unknown. */
    public String bootId() {
        return bootId;
    }

    /** The store that persists the state of this run. */
    public StateStore store() {
        return store;
    }

    /** The persisted measurements for a warm start of the router; empty if they are not usable. */
    public WarmStartState restoredWarmStartState() {
        if (!restored.isNodeTrustUsable()) {
            return WarmStartState.EMPTY;
        }
        PersistedState.NodeTrust nodeTrust = persisted.content().nodeTrust();
        Map<NodeId, WarmStartState.SavedHealth> nodes = new HashMap<>();
        for (PersistedState.Node node : nodeTrust.nodes()) {
            nodes.put(
                    new NodeId(node.id()),
                    new WarmStartState.SavedHealth(node.startedAt(), node.acceptedShare()));
        }
        return new WarmStartState(
                nodeTrust.recordedAt(), nodeTrust.originLatency(), nodeTrust.sendRate(), nodes);
    }

    /** Converts the router's measurements to the form in which they are persisted. */
    public static PersistedState.NodeTrust persistedTrust(WarmStartState measured) {
        List<PersistedState.Node> nodes = new ArrayList<>();
        measured.nodes()
                .forEach(
                        (id, savedHealth) ->
                                nodes.add(
                                        new PersistedState.Node(
                                                id.value(),
                                                savedHealth.startedAt(),
                                                savedHealth.acceptedShare())));
        return new PersistedState.NodeTrust(
                measured.recordedAt(), measured.originLatency(), measured.sendsPerSecond(), nodes);
    }

    /** Converts the other members of a view to the form in which they are persisted. */
    public static List<PersistedState.Peer> persistedPeers(MembershipView view) {
        return view.members().stream()
                .filter(member -> !member.id().equals(view.self()))
                .map(DurableState::persistedPeer)
                .toList();
    }

    private static PersistedState.Peer persistedPeer(MemberState member) {
        return new PersistedState.Peer(
                member.id().name(),
                member.endpoint().toString(),
                member.incarnation().generation(),
                member.incarnation().refutation(),
                member.status().isLive());
    }

    /** The endpoints of persisted members; those that cannot be parsed are left out. */
    public List<Endpoint> persistedPeerEndpoints() {
        List<Endpoint> endpoints = new ArrayList<>();
        for (PersistedState.Peer peer : restored.contacts()) {
            try {
                endpoints.add(Endpoint.parse(peer.endpoint()));
            } catch (IllegalArgumentException e) {
                // Another version of the program may have persisted endpoints in another format.
            }
        }
        return endpoints;
    }
}

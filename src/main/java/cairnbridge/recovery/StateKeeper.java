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
 * A proxy's persisted state, from its start to its end. It is opened before the proxy is made: it
 * reads the state, decides what is used and takes the generation of this run, and waits for a slow
 * disk no longer than some seconds. Any thread may call it.
 */
public final class StateKeeper {
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

    private StateKeeper(
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
     * Opens the state.
     *
     * @param clockGeneration the generation of this run by the clock; a higher one is taken if it
     *     was used before
     * @param log takes messages for operators from any thread
     */
    public static StateKeeper open(
            RecoverySettings settings, long clockGeneration, Consumer<String> log)
            throws InterruptedException {
        FileStorageDirectory directory = new FileStorageDirectory(settings.store().directory());
        StateStore store = new StateStore(settings.store(), directory, log);
        return new StateKeeper(settings, store, clockGeneration, log);
    }

    private void persistGeneration(long maxMillis) throws InterruptedException {
        CompletableFuture<Boolean> stored = store.append(LogRecord.Kind.GENERATION, generation);
        try {
            stored.get(maxMillis, TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException e) {
            // The store logs it; a later run is then kept apart by the machine's clock alone.
            store.checkDisk();
        }
    }

    /** The kernel's id of this boot; empty if it has none. */
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

    /** What of the persisted state is used. */
    public RestoredState restored() {
        return restored;
    }

    /** The generation of this run, higher than any before it. */
    public long generation() {
        return generation;
    }

    /** The present boot of this machine, empty if unknown. */
    public String bootId() {
        return bootId;
    }

    /** Where state is persisted. */
    public StateStore store() {
        return store;
    }

    /** What was learnt about nodes, as far as that is used. */
    public WarmStartState learntTrust() {
        if (!restored.isNodeTrustUsable()) {
            return WarmStartState.EMPTY;
        }
        PersistedState.NodeTrust trust = persisted.content().nodeTrust();
        Map<NodeId, WarmStartState.Trust> nodes = new HashMap<>();
        for (PersistedState.Node node : trust.nodes()) {
            nodes.put(
                    new NodeId(node.id()),
                    new WarmStartState.Trust(node.startedAt(), node.acceptedShare()));
        }
        return new WarmStartState(
                trust.recordedAt(), trust.originLatency(), trust.sendRate(), nodes);
    }

    /** What was learnt about nodes, in the form in which it is persisted. */
    public static PersistedState.NodeTrust persistedTrust(WarmStartState learnt) {
        List<PersistedState.Node> nodes = new ArrayList<>();
        learnt.nodes()
                .forEach(
                        (id, trust) ->
                                nodes.add(
                                        new PersistedState.Node(
                                                id.value(),
                                                trust.startedAt(),
                                                trust.acceptedShare())));
        return new PersistedState.NodeTrust(
                learnt.recordedAt(), learnt.originLatency(), learnt.sendsPerSecond(), nodes);
    }

    /** The members of a view but the one whose view it is, in the form that is persisted. */
    public static List<PersistedState.Peer> persistedPeers(MembershipView view) {
        return view.members().stream()
                .filter(member -> !member.id().equals(view.self()))
                .map(StateKeeper::persistedPeer)
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

    /** Endpoints of remembered members; those that cannot be parsed are left out. */
    public List<Endpoint> rememberedEndpoints() {
        List<Endpoint> endpoints = new ArrayList<>();
        for (PersistedState.Peer peer : restored.contacts()) {
            try {
                endpoints.add(Endpoint.parse(peer.endpoint()));
            } catch (IllegalArgumentException e) {
                // Persisted by a program that wrote endpoints otherwise: it is left out.
            }
        }
        return endpoints;
    }
}

package cairnbridge.lab.model;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Event.Endpoint;
import cairnbridge.decision.Event.ListScope;
import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.recovery.AdmissionDecision;
import cairnbridge.recovery.FleetSnapshot;
import cairnbridge.recovery.IncomingRequest;
import cairnbridge.recovery.RecoveryCoordinator;
import cairnbridge.recovery.RecoveryHost;
import cairnbridge.recovery.RecoveryPhase;
import cairnbridge.simulation.EventQueue;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * A proxy's return after a loss of power: the program's own Recovery, and in place of the disk and
 * of calls to members what the emulator hands it. One proxy's; made before it takes its first op.
 */
public final class ReturnModel implements RecoveryHost {
    /** A list of nodes with its version. */
    public record Listed(long version, List<Endpoint> entries) {
        public static final Listed NONE = new Listed(0, List.of());
    }

    /** There and back, and an answer at once: the modelled origin is never away. */
    private static final long PROBE = 10 * EventQueue.MILLI;

    private final EventQueue agenda;
    private final MachineKind originKind;

    /** The list that was kept. */
    private final Listed kept;

    private final Map<NodeId, Endpoint> entries = new LinkedHashMap<>();
    private RecoveryCoordinator recovery;
    private ProxyModel proxy;
    private Runnable listAnew = () -> {};
    private BiConsumer<String, Consumer<Listed>> asks = (member, then) -> {};
    private long version;

    /** A recovery with an endpoint list that was kept. */
    public ReturnModel(EventQueue agenda, MachineKind originKind, Listed kept) {
        this.agenda = agenda;
        this.originKind = originKind;
        this.kept = kept;
    }

    /** Before anything else: what decides, for whom, and how the world is asked. */
    public void by(
            RecoveryCoordinator decides,
            ProxyModel of,
            Runnable askDiscovery,
            BiConsumer<String, Consumer<Listed>> askMember) {
        recovery = decides;
        proxy = of;
        listAnew = askDiscovery;
        asks = askMember;
    }

    /** The phase of the recovery. */
    public RecoveryPhase phase() {
        return recovery.phase();
    }

    public boolean isConfirmed() {
        return recovery.isEndpointListConfirmed();
    }

    /** The limit of requests at the origin. */
    public int pace() {
        return recovery.originLimit();
    }

    /** What others get who ask; nothing while it is a guess. */
    public Listed list() {
        return recovery.isEndpointListConfirmed() ? held() : Listed.NONE;
    }

    /** What is in use, for the disk. */
    public Listed held() {
        return new Listed(version, List.copyOf(entries.values()));
    }

    /** The version of the endpoint list in use. */
    public long version() {
        return version;
    }

    /** The view of the fleet has changed. */
    public void seen(FleetSnapshot sight) {
        recovery.fleetChanged(sight, agenda.now());
    }

    /** Lets the recovery do what is due. */
    public void turn() {
        recovery.advance(agenda.now());
    }

    /** Discovery tells a list; false where it is not to be used. */
    public boolean listed(Event.EndpointListReceived roster) {
        if (roster.version() < recovery.endpointListFloor()) {
            recovery.staleListReceived(roster.version(), agenda.now());
            return false;
        }
        take(roster);
        return true;
    }

    private void take(Event.EndpointListReceived roster) {
        if (roster.scope() != ListScope.CHANGES) {
            entries.clear();
        }
        for (Endpoint entry : roster.endpoints()) {
            if (entry.state() == Event.NodeState.GONE) {
                entries.remove(entry.node());
            } else {
                entries.put(entry.node(), entry);
            }
        }
        version = roster.version();
        recovery.endpointListChanged(roster, agenda.now());
    }

    AdmissionDecision arrives(IncomingRequest op) {
        return recovery.admit(op, agenda.now());
    }

    void ended(RequestId op, NodeId node, AttemptOutcome ending, long took) {
        recovery.attemptEnded(op, node, ending, took, agenda.now());
    }

    void answered(RequestId op) {
        recovery.requestAnswered(op);
    }

    private void guess(Listed list) {
        if (list.version() > 0) {
            Event.EndpointListReceived roster =
                    new Event.EndpointListReceived(
                            ListScope.CACHED, list.version(), list.entries());
            take(roster);
            proxy.tell(roster);
        }
    }

    @Override
    public void usePersistedList() {
        long now = agenda.now();
        List<Endpoint> cold = new ArrayList<>();
        for (Endpoint each : kept.entries()) {
            cold.add(
                    new Endpoint(
                            each.node(),
                            each.state(),
                            each.kind(),
                            each.size(),
                            each.kind().equals(originKind) ? each.startedAt() : now,
                            each.cell(),
                            each.zone()));
        }
        agenda.schedule(0, () -> guess(new Listed(kept.version(), cold)));
    }

    @Override
    public void requestEndpointList(String member) {
        asks.accept(member, this::guess);
    }

    @Override
    public void acceptStaleList() {
        agenda.schedule(0, listAnew);
    }

    @Override
    public void probeOrigin() {
        recovery.origin()
                .ifPresent(
                        origin ->
                                agenda.schedule(
                                        PROBE,
                                        () ->
                                                recovery.probeEnded(
                                                        origin,
                                                        AttemptOutcome.SUCCESS,
                                                        agenda.now())));
    }

    @Override
    public void log(String line) {
        // A run is told by its record.
    }
}

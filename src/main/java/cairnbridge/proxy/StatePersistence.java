package cairnbridge.proxy;

import cairnbridge.config.FleetConfig;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.fleet.FleetMember;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.recovery.DurableState;
import cairnbridge.recovery.EndpointListAssembler;
import cairnbridge.store.LogRecord;
import cairnbridge.store.PersistedState;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Persists a proxy's state on its disk: the endpoint list, the nodes in maintenance, the fleet's
 * members and zone plan, and what was learnt about nodes. It is set up before the proxy starts;
 * from then on the store's thread calls it for each snapshot.
 */
final class StatePersistence implements Persistence {
    private final DurableState durableState;
    private final RecoveryLink recoveryLink;
    private final EndpointListAssembler endpointListAssembler = new EndpointListAssembler();
    private final MaintenanceMarkers maintenanceMarkers;
    private final RequestCoordinator coordinator;

    /** Connects the components of a proxy, before its start, to the persisted state. */
    StatePersistence(
            ProxyComponents components, FleetConfig fleetConfig, DurableState durableState) {
        this.durableState = durableState;
        maintenanceMarkers = components.maintenanceMarkers();
        coordinator = components.coordinator();
        long nowTicks = components.clock().now();
        MemberId self = fleetConfig.transport().identity().id();
        DiscoveryWatch discoveryWatch = components.discoveryWatch();
        recoveryLink =
                new RecoveryLink(
                        components.config(),
                        durableState,
                        self.name(),
                        fleetConfig.location().zone(),
                        endpointListAssembler,
                        discoveryWatch,
                        components.eventQueue(),
                        nowTicks);
        discoveryWatch.setEndpointListAssembler(endpointListAssembler);
        discoveryWatch.setVersionFloor(durableState.restored().endpointList().version());
        coordinator.setRecovery(recoveryLink);
        maintenanceMarkers.setStore(this::saveMaintenance);
    }

    private CompletableFuture<Boolean> saveMaintenance(NodeId node, boolean inMaintenance) {
        LogRecord.Kind kind =
                inMaintenance ? LogRecord.Kind.MAINTENANCE_ON : LogRecord.Kind.MAINTENANCE_OFF;
        return durableState.store().append(kind, node.value());
    }

    @Override
    public Optional<RecoveryLink> recoveryLink() {
        return Optional.of(recoveryLink);
    }

    @Override
    public FleetMember.PlanEpochs planEpochs() {
        return new FleetMember.PlanEpochs(
                durableState.restored().epochFloor(),
                epoch -> durableState.store().append(LogRecord.Kind.PLAN_EPOCH, epoch));
    }

    /**
     * Restores the nodes in maintenance before the first request. If the disk is too slow for that,
     * they are restored once the store has read them.
     */
    @Override
    public void start(FleetMember member) {
        recoveryLink.setMember(member);
        maintenanceMarkers.restore(durableState.restored().nodesInMaintenance());
        durableState
                .store()
                .whenOpened(
                        state -> maintenanceMarkers.restore(state.logged().nodesInMaintenance()));
        durableState.store().setSnapshotSource(() -> snapshot(member));
    }

    /**
     * The state to persist; empty until the recovery is over. Guards against a second power loss
     * during the recovery, after which incomplete state would have replaced the earlier state.
     */
    private Optional<PersistedState> snapshot(FleetMember member) {
        if (!recoveryLink.isOver()) {
            return Optional.empty();
        }
        PersistedState.LoggedState logged =
                new PersistedState.LoggedState(
                        0,
                        durableState.generation(),
                        member.planEpoch(),
                        maintenanceMarkers.nodesInMaintenance());
        PersistedState.Content content =
                new PersistedState.Content(
                        durableState.bootId(),
                        System.currentTimeMillis(),
                        new PersistedState.EndpointList(
                                endpointListAssembler.version(),
                                endpointListAssembler.endpointList()),
                        DurableState.persistedPeers(member.view()),
                        member.encodedPlan(),
                        DurableState.persistedTrust(coordinator.warmStartState()));
        return Optional.of(
                new PersistedState(durableState.settings().store().cluster(), logged, content));
    }

    @Override
    public Map<String, Long> metrics() {
        return recoveryLink.metrics();
    }

    @Override
    public Optional<String> recoveryStatus() {
        return Optional.of(recoveryLink.statusText());
    }

    @Override
    public void stop() throws InterruptedException {
        durableState.store().stop();
    }
}

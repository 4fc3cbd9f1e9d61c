package cairnbridge.proxy;

import cairnbridge.config.FleetConfig;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.fleet.FleetMember;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.recovery.EndpointListHistory;
import cairnbridge.recovery.StateKeeper;
import cairnbridge.store.LogRecord;
import cairnbridge.store.PersistedState;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * What a proxy persists on its disk: the endpoint list, the nodes in maintenance, the fleet's
 * members and plan, and the trust in nodes. It is wired before the proxy starts; after that the
 * store's thread asks it for the state that is to be written.
 */
final class StatePersistence implements Persistence {
    private final StateKeeper stateKeeper;
    private final RecoveryLink recoveryLink;
    private final EndpointListHistory endpointListHistory = new EndpointListHistory();
    private final MaintenanceMarks maintenanceMarks;
    private final RequestCoordinator coordinator;

    /** Wires the parts of a proxy that is not started yet to what is persisted. */
    StatePersistence(ProxyComponents components, FleetConfig fleetConfig, StateKeeper stateKeeper) {
        this.stateKeeper = stateKeeper;
        maintenanceMarks = components.maintenanceMarks();
        coordinator = components.coordinator();
        long nowTicks = components.clock().now();
        MemberId self = fleetConfig.transport().identity().id();
        DiscoveryWatch discoveryWatch = components.discoveryWatch();
        recoveryLink =
                new RecoveryLink(
                        components.config(),
                        stateKeeper,
                        self.name(),
                        fleetConfig.location().zone(),
                        endpointListHistory,
                        discoveryWatch,
                        components.eventQueue(),
                        nowTicks);
        discoveryWatch.setHistory(endpointListHistory);
        discoveryWatch.setVersionFloor(stateKeeper.restored().endpointList().version());
        coordinator.setRecovery(recoveryLink);
        maintenanceMarks.setStore(this::saveMaintenance);
    }

    private CompletableFuture<Boolean> saveMaintenance(NodeId node, boolean inMaintenance) {
        LogRecord.Kind kind =
                inMaintenance ? LogRecord.Kind.MAINTENANCE_ON : LogRecord.Kind.MAINTENANCE_OFF;
        return stateKeeper.store().append(kind, node.value());
    }

    @Override
    public Optional<RecoveryLink> recoveryLink() {
        return Optional.of(recoveryLink);
    }

    @Override
    public FleetMember.PlanEpochs planEpochs() {
        return new FleetMember.PlanEpochs(
                stateKeeper.restored().epochFloor(),
                epoch -> stateKeeper.store().append(LogRecord.Kind.PLAN_EPOCH, epoch));
    }

    /**
     * Nodes in maintenance are so again before the first request, or as soon as a slow disk gives
     * them.
     */
    @Override
    public void start(FleetMember member) {
        recoveryLink.setMember(member);
        maintenanceMarks.restore(stateKeeper.restored().nodesInMaintenance());
        stateKeeper
                .store()
                .whenOpened(late -> maintenanceMarks.restore(late.logged().nodesInMaintenance()));
        stateKeeper.store().snapshotFrom(() -> snapshot(member));
    }

    /**
     * Empty until the recovery is over: guards against state that is half known yet in place of
     * what was known before, if the power is lost a second time.
     */
    private Optional<PersistedState> snapshot(FleetMember member) {
        if (!recoveryLink.isOver()) {
            return Optional.empty();
        }
        PersistedState.LoggedState logged =
                new PersistedState.LoggedState(
                        0,
                        stateKeeper.generation(),
                        member.planEpoch(),
                        maintenanceMarks.nodesInMaintenance());
        PersistedState.Content content =
                new PersistedState.Content(
                        stateKeeper.bootId(),
                        System.currentTimeMillis(),
                        new PersistedState.EndpointList(
                                endpointListHistory.version(), endpointListHistory.endpointList()),
                        StateKeeper.persistedPeers(member.view()),
                        member.encodedPlan(),
                        StateKeeper.persistedTrust(coordinator.warmStartState()));
        return Optional.of(
                new PersistedState(stateKeeper.settings().store().cluster(), logged, content));
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
        stateKeeper.store().stop();
    }
}

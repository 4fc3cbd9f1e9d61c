package cairnbridge.proxy;

import cairnbridge.config.FleetConfig;
import cairnbridge.config.ProxyConfig;
import cairnbridge.fleet.FleetMember;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.recovery.EndpointListHistory;
import cairnbridge.recovery.StateKeeper;
import cairnbridge.store.LogRecord;
import cairnbridge.store.PersistedState;
import java.util.Optional;

/**
 * What of a proxy is kept on its disk, put together from its parts; made before the proxy starts.
 */
final class StatePersistence {
    private final StateKeeper stateKeeper;
    private final RecoveryLink recoveryLink;
    private final EndpointListHistory endpointListHistory = new EndpointListHistory();
    private final MaintenanceMarks maintenanceMarks;
    private final RequestCoordinator coordinator;
    private FleetMember fleetMember;

    StatePersistence(
            StateKeeper keeper,
            ProxyConfig config,
            FleetConfig of,
            MaintenanceMarks maintenance,
            DiscoveryWatch watch,
            RequestCoordinator decide,
            EventQueue inbox,
            long now) {
        this.stateKeeper = keeper;
        this.maintenanceMarks = maintenance;
        this.coordinator = decide;
        MemberId me = of.transport().identity().id();
        recoveryLink =
                new RecoveryLink(
                        config,
                        keeper,
                        me.name(),
                        of.location().zone(),
                        endpointListHistory,
                        watch,
                        inbox,
                        now);
        watch.setHistory(endpointListHistory);
        watch.setVersionFloor(keeper.restored().endpointList().version());
        decide.setRecovery(recoveryLink);
        maintenance.setPersistence(
                (node, on) ->
                        keeper.store()
                                .append(
                                        on
                                                ? LogRecord.Kind.MAINTENANCE_ON
                                                : LogRecord.Kind.MAINTENANCE_OFF,
                                        node.value()));
    }

    RecoveryLink recoveryLink() {
        return recoveryLink;
    }

    /** What the fleet's member needs to know of plans over zones before it is made. */
    FleetMember.PlanEpochs planEpochs() {
        return new FleetMember.PlanEpochs(
                stateKeeper.restored().epochFloor(),
                epoch -> stateKeeper.store().append(LogRecord.Kind.PLAN_EPOCH, epoch));
    }

    /** Holds of staff are in force before the first op, or as soon as a slow disk gives them. */
    void start(FleetMember member) {
        fleetMember = member;
        recoveryLink.setMember(member);
        maintenanceMarks.restore(stateKeeper.restored().nodesInMaintenance());
        stateKeeper
                .store()
                .whenOpened(late -> maintenanceMarks.restore(late.logged().nodesInMaintenance()));
        stateKeeper.store().snapshotFrom(this::state);
    }

    /**
     * Nothing until the return is over: guards against what is half known yet in place of what was
     * known before, where the power is lost a second time.
     */
    private Optional<PersistedState> state() {
        if (!recoveryLink.isOver()) {
            return Optional.empty();
        }
        PersistedState.LoggedState logged =
                new PersistedState.LoggedState(
                        0,
                        stateKeeper.generation(),
                        fleetMember.planEpoch(),
                        maintenanceMarks.nodesInMaintenance());
        PersistedState.Content content =
                new PersistedState.Content(
                        stateKeeper.bootId(),
                        System.currentTimeMillis(),
                        new PersistedState.EndpointList(
                                endpointListHistory.version(), endpointListHistory.endpointList()),
                        StateKeeper.persistedPeers(fleetMember.view()),
                        fleetMember.encodedPlan(),
                        StateKeeper.persistedTrust(coordinator.warmStartState()));
        return Optional.of(
                new PersistedState(stateKeeper.settings().store().cluster(), logged, content));
    }

    void stop() throws InterruptedException {
        stateKeeper.store().stop();
    }
}

package cairnbridge.lab.model;

import cairnbridge.decision.Event;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Settings;
import cairnbridge.fleet.coordination.FleetLoadCounters;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.membership.MembershipView;
import cairnbridge.simulation.EventQueue;
import cairnbridge.zones.ZonePlanCoordinator;
import cairnbridge.zones.ZonePlanHost;
import cairnbridge.zones.ZoneSettings;
import cairnbridge.zones.consensus.AcceptorState;
import cairnbridge.zones.consensus.AcceptorStateFile;
import cairnbridge.zones.plan.ListedNode;
import cairnbridge.zones.plan.Plan;
import cairnbridge.zones.plan.Zone;
import cairnbridge.zones.routing.ZoneRouter;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A proxy's plan over zones: the program's own Zones, tally and placement, and in place of the
 * carrier what the emulator hands it. One proxy's; made before it takes its first op.
 */
public final class ZonesModel implements ZonePlanHost {
    /** How members are reached: from whom, to whom, on what, and what is done with the answer. */
    public interface Wire {
        /** Calls another member; the answer goes to a consumer. */
        void say(MemberId to, String topic, byte[] bytes, Consumer<byte[]> then);
    }

    private static final long PLACE_AGAIN = EventQueue.SECOND;
    private static final long SYNC = 80 * EventQueue.MILLI;
    private final EventQueue agenda;
    private final ProxyModel proxy;
    private final ZoneSettings config;
    private final Settings settings;
    private final List<String> zoneNames;
    private final FleetLoadCounters tally;
    private final ZoneRouter.Counts counts = new ZoneRouter.Counts();
    private final Map<NodeId, ListedNode> servers = new LinkedHashMap<>();
    private final Consumer<Plan> watcher;
    private final AcceptorStateFile register;
    private ZonePlanCoordinator zones;
    private Wire wire;
    private long placedAt;

    /** watcher: is told of each plan that comes into force here. */
    public ZonesModel(
            EventQueue agenda,
            ProxyModel proxy,
            ZoneSettings config,
            Settings settings,
            List<String> zoneNames,
            AcceptorStateFile register,
            Consumer<Plan> watcher) {
        this.register = register;
        this.agenda = agenda;
        this.proxy = proxy;
        this.config = config;
        this.settings = settings;
        this.zoneNames = zoneNames;
        this.watcher = watcher;
        tally = new FleetLoadCounters(zoneNames, settings, agenda.now());
    }

    /** Before anything else: what decides, and how others are reached. */
    public void by(ZonePlanCoordinator decides, Wire carries) {
        zones = decides;
        wire = carries;
    }

    /** The counters of the load. */
    public FleetLoadCounters tally() {
        return tally;
    }

    /** The plan in force. */
    public Plan plan() {
        return zones.plan();
    }

    /** Ops placed at home, elsewhere and nowhere. */
    public ZoneRouter.Counts counts() {
        return counts;
    }

    /** Discovery has told this proxy. */
    void listed(Event.EndpointListReceived roster) {
        tally.endpointListChanged(roster);
        if (roster.scope() != Event.ListScope.CHANGES && !roster.endpoints().isEmpty()) {
            servers.clear();
        }
        for (Event.Endpoint entry : roster.endpoints()) {
            if (entry.state() == Event.NodeState.GONE
                    || entry.kind().equals(settings.origin().machineKind())) {
                servers.remove(entry.node());
            } else {
                servers.put(
                        entry.node(),
                        new ListedNode(
                                entry.node().value(),
                                new Zone(zoneNames.get(entry.zone().value())),
                                entry.state() == Event.NodeState.READY,
                                entry.size(),
                                entry.startedAt() / EventQueue.MILLI));
            }
        }
    }

    /** The carrier's round. */
    public void viewed(MembershipView view) {
        tally.publish(agenda.now());
        zones.viewPublished(view, agenda.now(), agenda.now() / EventQueue.MILLI);
        if (agenda.now() - placedAt >= PLACE_AGAIN) {
            place();
        }
    }

    /** What another member says. */
    public void asked(String topic, byte[] bytes, Consumer<byte[]> then) {
        zones.messageReceived(topic, bytes, then);
    }

    /** drain ZONE SECONDS or restore ZONE. */
    public String staff(String text) {
        return zones.execute(text);
    }

    private void place() {
        placedAt = agenda.now();
        Zone home = new Zone(proxy.zone());
        ZoneRouter.LocalRoute route =
                new ZoneRouter.LocalRoute(
                        home,
                        zones.plan().routeOf(home),
                        ZoneRouter.unreachableZones(
                                listedNodes(),
                                tally.reachability().unreachableNodes(),
                                tally.reachability().unreachableZones()),
                        config.reroutedShare());
        proxy.tell(
                new Event.PlacementChanged(
                        new ZoneRouter(
                                route,
                                zoneNames,
                                settings.categories(),
                                tally.requestsPerSecondByCategory(),
                                counts)));
    }

    @Override
    public void call(
            MemberId to, String topic, byte[] payload, Consumer<Optional<byte[]>> callback) {
        wire.say(
                to,
                topic,
                payload,
                answer -> proxy.when(() -> callback.accept(Optional.ofNullable(answer))));
    }

    @Override
    public void persist(AcceptorState state, Consumer<Optional<String>> callback) {
        agenda.schedule(SYNC, () -> proxy.when(() -> callback.accept(write(state))));
    }

    /** Why it could not be written. */
    private Optional<String> write(AcceptorState state) {
        try {
            register.write(state);
            return Optional.empty();
        } catch (IOException e) {
            return Optional.of(e.toString());
        }
    }

    @Override
    public List<ListedNode> listedNodes() {
        return List.copyOf(servers.values());
    }

    @Override
    public void planChanged(Plan plan) {
        watcher.accept(plan);
        place();
    }

    @Override
    public void log(String line) {
        // A run is told by its record.
    }
}

package cairnbridge.scale.upkeep;

import cairnbridge.config.JsonObject;
import cairnbridge.config.SettingsReader;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.fleet.coordination.DiscoveryPolling;
import cairnbridge.fleet.coordination.FleetLoadCounters;
import cairnbridge.fleet.coordination.LiveProxyCount;
import cairnbridge.fleet.coordination.NodeSuspicions;
import cairnbridge.fleet.coordination.TaskAssignment;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.membership.MembershipView;
import cairnbridge.fleet.membership.SwimSettings;
import cairnbridge.scale.MeasurementWriter;
import cairnbridge.time.Ticks;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * Measures the processor time of each part of a member's periodic work, by the size of the fleet.
 * Views come one after another as in a steady fleet: in each some members have new figures.
 */
public final class TurnCosts {
    /** The carrier publishes at most so many views a second. */
    private static final int VIEWS_A_SECOND = 10;

    /** Members with new figures in a second, in a fleet of any size. */
    private static final int FIGURES_A_SECOND = 20;

    private static final int DISTINCT_VIEWS = 16;
    private static final int VOTERS = 7;
    private static final int FAILING_NODES = 16;
    private static final int CPU_PERCENT_PER_MICRO = 10_000;
    private static final long SINCE_CALLED_MILLIS = 2_000;
    private static final long WARM_UP_MILLIS = 250;
    private static final long PLAY_MILLIS = 100;

    /** One part of the work and how often it runs in a second. */
    private record Part(String name, double callsPerSecond, IntSupplier call) {}

    private final int members;
    private final int nodes;
    private final long seed;
    private final SampleFleet fleet;
    private final List<MembershipView> views;
    private final SampleMember member;
    private final CallCost cost;
    private int turns;

    /** members and nodes: the sizes; seed: of the generated fleet. */
    public TurnCosts(int members, int nodes, long seed) {
        this(members, nodes, seed, new CallCost(WARM_UP_MILLIS, PLAY_MILLIS));
    }

    TurnCosts(int members, int nodes, long seed, CallCost cost) {
        this.cost = cost;
        this.members = members;
        this.nodes = nodes;
        this.seed = seed;
        fleet = new SampleFleet(members, nodes, seed);
        views = fleet.views(DISTINCT_VIEWS, FIGURES_A_SECOND / VIEWS_A_SECOND);
        member = new SampleMember(fleet, seed);
    }

    /** Measures every part so many times, and writes one line for each. */
    public void measure(int plays, MeasurementWriter writer) throws IOException {
        for (Part part : parts()) {
            cost.warmUp(part.call);
            for (int play = 1; play <= plays; play++) {
                write(writer, part, play, cost.microsPerCall(part.call));
            }
        }
    }

    private void write(MeasurementWriter writer, Part part, int play, double micros)
            throws IOException {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("part", part.name);
        settings.put("members", members);
        settings.put("nodes", nodes);
        settings.put("seed", seed);
        settings.put("play", play);
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("cpu_micros_per_call", micros);
        figures.put("calls_per_second", part.callsPerSecond);
        figures.put("cpu_percent", micros * part.callsPerSecond / CPU_PERCENT_PER_MICRO);
        writer.write("turn-cost", settings, figures);
    }

    private List<Part> parts() {
        List<Part> parts = new ArrayList<>();
        parts.add(perView("duties", duties()));
        parts.add(perView("duties-same-view", dutiesOfSameView()));
        parts.add(perView("living", () -> next().liveMembers().size()));
        parts.add(perView("find-voters", () -> findVoters(next())));
        parts.add(perView("node-hints", nodeHints()));
        parts.add(perView("living-count", livingCount()));
        parts.add(new Part("list-calls", 1, listCalls()));
        parts.add(perView("fleet-tally", fleetTally()));
        parts.add(perView("whole-turn", wholeTurn()));
        parts.add(perView("make-view", () -> member.view().members().size()));
        parts.add(
                perView(
                        "gauges",
                        () ->
                                next().statistics().members().alive()
                                        + next().statistics().members().dead()));
        parts.add(new Part("membership-second", 1, this::membershipSecond));
        parts.add(new Part("sync-compare", syncsPerSecond(), this::syncCompare));
        return parts;
    }

    private static Part perView(String name, IntSupplier call) {
        return new Part(name, VIEWS_A_SECOND, call);
    }

    /** A view that nobody has read yet, as each that is published. */
    private MembershipView next() {
        MembershipView view = views.get(turns++ % DISTINCT_VIEWS);
        return new MembershipView(view.self(), view.members(), view.digest(), view.statistics());
    }

    private long now() {
        return turns * Ticks.SECOND / VIEWS_A_SECOND;
    }

    private IntSupplier duties() {
        TaskAssignment duties = newDuties();
        return () -> duties.dueTasks(next(), fleet.nodes(), now()).size();
    }

    private IntSupplier dutiesOfSameView() {
        TaskAssignment duties = newDuties();
        return () -> {
            turns++;
            return duties.dueTasks(views.get(0), fleet.nodes(), now()).size();
        };
    }

    private TaskAssignment newDuties() {
        return new TaskAssignment(fleet.self(), SampleFleet.zone(0), 2 * Ticks.SECOND);
    }

    private int findVoters(MembershipView view) {
        int found = 0;
        for (int voter = 0; voter < VOTERS; voter++) {
            MemberId id = SampleFleet.id(voter * members / VOTERS);
            found += view.stateOf(id).isPresent() ? 1 : 0;
        }
        return found;
    }

    private IntSupplier nodeHints() {
        NodeSuspicions hints = new NodeSuspicions(SampleFleet.zone(0));
        return () -> hints.newSuspicions(next()).size();
    }

    private IntSupplier livingCount() {
        LiveProxyCount count = new LiveProxyCount(members, 0);
        return () -> count.update(next(), now());
    }

    /** The member that comes last in its zone's order asks most: no list has come in anywhere. */
    private IntSupplier listCalls() {
        MembershipView first = views.get(0);
        MemberId last = fleet.self();
        for (MemberId id : fleet.zonePeers()) {
            boolean waits =
                    !new DiscoveryPolling(id, SampleFleet.zone(0))
                            .mayPoll(first, SINCE_CALLED_MILLIS);
            last = waits ? id : last;
        }
        DiscoveryPolling calls = new DiscoveryPolling(last, SampleFleet.zone(0));
        return () -> calls.mayPoll(next(), SINCE_CALLED_MILLIS) ? 1 : 0;
    }

    private IntSupplier fleetTally() {
        FleetLoadCounters tally =
                new FleetLoadCounters(
                        List.of("zone-0"),
                        SettingsReader.read(
                                JsonObject.parse("{\"domain\":{\"mode\":\"aside\"}}", "settings")),
                        0);
        return () -> {
            turns++;
            for (int node = 0; node < Math.min(nodes, FAILING_NODES); node++) {
                NodeId failing = new NodeId(fleet.nodes().get(node));
                tally.probeEnded(failing, AttemptOutcome.CONNECT_FAILED, now());
            }
            tally.publish(now());
            return tally.reachability().unreachableNodes().size()
                    + tally.nodesToProbe(now()).size();
        };
    }

    /** Duties, hints, count and voters, with one and the same view. */
    private IntSupplier wholeTurn() {
        TaskAssignment duties = newDuties();
        NodeSuspicions hints = new NodeSuspicions(SampleFleet.zone(0));
        LiveProxyCount count = new LiveProxyCount(members, 0);
        return () -> {
            MembershipView view = next();
            return duties.dueTasks(view, fleet.nodes(), now()).size()
                    + hints.newSuspicions(view).size()
                    + count.update(view, now())
                    + findVoters(view);
        };
    }

    private int membershipSecond() {
        member.second(FIGURES_A_SECOND);
        return 1;
    }

    private int syncCompare() {
        member.compareAll();
        return 1;
    }

    /** Each member begins one comparison in this time, and is called for one by another. */
    private double syncsPerSecond() {
        double doublings = Math.ceil(Math.log(Math.max(1, members / 32.0)) / Math.log(2));
        double span = SwimSettings.DEFAULT.antiEntropyInterval() * (1 + doublings);
        return 2 * Ticks.SECOND / span;
    }
}

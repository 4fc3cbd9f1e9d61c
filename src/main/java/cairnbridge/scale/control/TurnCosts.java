package cairnbridge.scale.control;

import cairnbridge.config.ConfigurationException;
import cairnbridge.fleet.coordination.DiscoveryPolling;
import cairnbridge.fleet.coordination.LiveProxyCount;
import cairnbridge.fleet.coordination.NodeSuspicions;
import cairnbridge.fleet.coordination.TaskAssignment;
import cairnbridge.fleet.membership.MembershipView;
import cairnbridge.scale.MeasurementWriter;
import cairnbridge.time.Ticks;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongUnaryOperator;
import java.util.stream.LongStream;

/**
 * Measures the processor time of one turn of each part that goes through all members or nodes. The
 * costs are those of one thread that does nothing else, after its code was compiled.
 */
public final class TurnCosts {
    private static final long WARM_UP_NANOS = 300_000_000;
    private static final long MEASURED_NANOS = 300_000_000;
    private static final double NANOS_PER_MICROSECOND = 1e3;
    private static final int CHECK_EVERY = 4;

    /**
     * What the carrier adds to the time between two turns, about: it publishes ten times a second.
     */
    private static final long BETWEEN_TURNS = Ticks.SECOND / 10;

    /**
     * What is measured.
     *
     * @param members sizes of the views
     * @param nodes numbers of cache nodes
     * @param plays of each pair
     */
    public record Request(List<Integer> members, List<Integer> nodes, int plays) {
        /** Throws a ConfigFault that names the option at fault. */
        public Request {
            members = List.copyOf(members);
            nodes = List.copyOf(nodes);
            check(
                    members.stream()
                            .allMatch(size -> size > 1 && size <= SyntheticView.MOST_MEMBERS),
                    "--members",
                    "has a size that is not from 2 to " + SyntheticView.MOST_MEMBERS);
            check(nodes.stream().allMatch(size -> size >= 1), "--nodes", "has a size below 1");
            check(plays >= 1, "--plays", "is below 1");
        }

        private static void check(boolean holds, String key, String fault) {
            if (!holds) {
                throw new ConfigurationException(key, fault);
            }
        }
    }

    private final Request request;
    private final MeasurementWriter writer;
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();

    /** Keeps results from being left out by the compiler. */
    private long sink;

    /** Figures go to the writer, a line for each size and play. */
    public TurnCosts(Request request, MeasurementWriter writer) {
        this.request = request;
        this.writer = writer;
    }

    /** Measures all. */
    public void run() throws IOException {
        for (int members : request.members()) {
            for (int nodes : request.nodes()) {
                for (int play = 1; play <= request.plays(); play++) {
                    measure(members, nodes, play);
                }
            }
        }
    }

    private void measure(int members, int nodes, int play) throws IOException {
        Map<String, Integer> settings = new LinkedHashMap<>();
        settings.put("members", members);
        settings.put("nodes", nodes);
        settings.put("play", play);
        Map<String, Number> figures = new LinkedHashMap<>();
        turns(members, nodes)
                .forEach((name, turn) -> figures.put(name + "_microseconds", microseconds(turn)));
        writer.write("control_turn", settings, figures);
        if (sink == Long.MIN_VALUE) {
            throw new IllegalStateException("no turn gave a result");
        }
    }

    /** By name; each is told the time of its turn and gives something of its result. */
    private static Map<String, LongUnaryOperator> turns(int members, int nodes) {
        SyntheticView synthetic = new SyntheticView(members);
        MembershipView view = synthetic.view();
        MemberIdentity me = MemberIdentity.of(0);
        TaskAssignment duties = new TaskAssignment(me.id(), me.zone(), 2 * Ticks.SECOND);
        NodeSuspicions hints = new NodeSuspicions(me.zone());
        LiveProxyCount living = new LiveProxyCount(members, 0);
        DiscoveryPolling calls = new DiscoveryPolling(me.id(), me.zone());
        List<Long> nodeIds = LongStream.rangeClosed(1, nodes).boxed().toList();
        Map<String, LongUnaryOperator> turns = new LinkedHashMap<>();
        turns.put("duties_due", now -> duties.dueTasks(view, nodeIds, now).size());
        turns.put("node_hints", now -> hints.newSuspicions(view).size());
        turns.put("living_count", now -> living.update(view, now));
        turns.put("list_calls_may_call", now -> calls.mayPoll(view, 0) ? 1 : 0);
        turns.put("view_living", now -> view.liveMembers().size());
        turns.put("membership_view", now -> synthetic.machine().view().digest());
        turns.put("membership_timers", synthetic::turn);
        turns.put("membership_datagram", synthetic::datagram);
        turns.put("membership_comparison", synthetic::comparison);
        return turns;
    }

    private double microseconds(LongUnaryOperator turn) {
        long now = 0;
        long until = threads.getCurrentThreadCpuTime() + WARM_UP_NANOS;
        while (threads.getCurrentThreadCpuTime() < until) {
            now += BETWEEN_TURNS;
            sink += turn.applyAsLong(now);
        }
        long begun = threads.getCurrentThreadCpuTime();
        long ended = begun;
        long turnsDone = 0;
        while (ended - begun < MEASURED_NANOS) {
            for (int i = 0; i < CHECK_EVERY; i++) {
                now += BETWEEN_TURNS;
                sink += turn.applyAsLong(now);
            }
            turnsDone += CHECK_EVERY;
            ended = threads.getCurrentThreadCpuTime();
        }
        return (ended - begun) / NANOS_PER_MICROSECOND / turnsDone;
    }
}

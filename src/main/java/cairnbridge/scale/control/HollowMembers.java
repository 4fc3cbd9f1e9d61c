package cairnbridge.scale.control;

import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.member.MemberStatus;
import cairnbridge.scale.control.HollowReply.Usage;
import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReference;

/** The hollow proxies of one process; one thread's. */
final class HollowMembers {
    private static final String BYTES_SENT = "fleet.bytes_sent_total";
    private static final String BYTES_RECEIVED = "fleet.bytes_received_total";
    private static final String SYNCS = "fleet.syncs_total";
    private static final String OVER_BUDGET = "fleet.over_budget_total";
    private static final String FAILURES = "fleet.failures_total";

    private final HollowSettings settings;
    private final Map<Integer, HollowProxy> running = new TreeMap<>();
    private final Map<Integer, HollowProxy> frozen = new HashMap<>();
    private final AtomicReference<ChangeWatch> watch = new AtomicReference<>();

    /** Gauges of lives that are over. */
    private final Map<String, Long> ended = new HashMap<>();

    private long endedProbes;
    private boolean changingFigures;

    HollowMembers(HollowSettings settings) {
        this.settings = settings;
    }

    /** Starts a member; its place. */
    Endpoint start(int number, long life, List<Endpoint> seeds) throws IOException {
        HollowProxy proxy = new HollowProxy(MemberIdentity.of(number), settings, watch);
        if (changingFigures) {
            proxy.changeFigures();
        }
        proxy.start(life, seeds);
        running.put(number, proxy);
        return proxy.at();
    }

    /** Looks for a change in all views from now on. */
    void watch(ChangeWatch change) {
        watch.set(change);
    }

    /** When members of this process came to know of the change that is watched. */
    List<Long> knownAtNanos() {
        return watch.get().knownAtNanos();
    }

    /** Makes a change; when it was begun, by the machine's monotonic clock. */
    long change(int number, ChangeKind kind, long life, List<Endpoint> seeds)
            throws IOException, InterruptedException {
        long begun = System.nanoTime();
        switch (kind) {
            case START -> start(number, life, seeds);
            case KILL -> end(number).kill();
            case LEAVE -> end(number).leave();
            case FREEZE -> {
                HollowProxy proxy = running.remove(number);
                proxy.freeze();
                frozen.put(number, proxy);
                begun = System.nanoTime();
            }
            default -> {
                HollowProxy proxy = frozen.remove(number);
                proxy.thaw();
                running.put(number, proxy);
            }
        }
        return begun;
    }

    private HollowProxy end(int number) {
        HollowProxy proxy = running.remove(number);
        proxy.gauges().forEach((name, value) -> ended.merge(name, value, Long::sum));
        endedProbes += proxy.probes();
        return proxy;
    }

    /** Ends all without a word. */
    void stop() {
        frozen.values().forEach(HollowProxy::kill);
        frozen.values().forEach(HollowProxy::thaw);
        running.values().forEach(HollowProxy::kill);
    }

    /** Words on members that all together have still to pass on. */
    int rumoursWaiting() {
        return running.values().stream().mapToInt(HollowProxy::rumoursWaiting).sum();
    }

    /** From now on the members tell new figures all the time. */
    void changeFigures() {
        changingFigures = true;
        running.values().forEach(HollowProxy::changeFigures);
    }

    int running() {
        return running.size();
    }

    /** How many of those that run hold exactly this many alive and nobody suspect. */
    int agreeing(int alive) {
        return (int)
                running.values().stream()
                        .filter(
                                proxy ->
                                        proxy.view().count(MemberStatus.ALIVE) == alive
                                                && proxy.view().count(MemberStatus.SUSPECT) == 0)
                        .count();
    }

    /** What this process has used since its start. */
    Usage usage(boolean collectGarbage) {
        if (collectGarbage) {
            System.gc();
        }
        List<HollowProxy> all = new ArrayList<>(running.values());
        all.addAll(frozen.values());
        Map<String, Long> sums = new HashMap<>(ended);
        all.forEach(
                proxy ->
                        proxy.gauges()
                                .forEach((name, value) -> sums.merge(name, value, Long::sum)));
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long carrierCpu =
                all.stream()
                        .mapToLong(HollowProxy::carrierThread)
                        .filter(id -> id != 0)
                        .map(id -> Math.max(0, threads.getThreadCpuTime(id)))
                        .sum();
        OperatingSystemMXBean system =
                ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
        return new Usage(
                System.nanoTime(),
                system.getProcessCpuTime(),
                carrierCpu,
                ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed(),
                sums.getOrDefault(BYTES_SENT, 0L),
                sums.getOrDefault(BYTES_RECEIVED, 0L),
                sums.getOrDefault(SYNCS, 0L),
                sums.getOrDefault(OVER_BUDGET, 0L),
                sums.getOrDefault(FAILURES, 0L),
                endedProbes + all.stream().mapToLong(HollowProxy::probes).sum());
    }
}

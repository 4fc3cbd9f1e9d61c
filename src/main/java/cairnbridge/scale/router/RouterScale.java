package cairnbridge.scale.router;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.NodeState;
import cairnbridge.decision.Host;
import cairnbridge.decision.Ids.ZoneId;
import cairnbridge.decision.Router;
import cairnbridge.decision.WarmStartState;
import cairnbridge.scale.LinearFit;
import cairnbridge.scale.LinearFit.Point;
import cairnbridge.scale.MeasurementWriter;
import cairnbridge.scale.router.DriveCounts.HostCall;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Plays each size some times, writes a line for each play, and a fitted line for each cost. */
public final class RouterScale {
    private static final int WARM_UP_REQUESTS = 50_000;
    private static final int IDLE_SECONDS = 100;
    private static final int LIST_REPEATS = 40;
    private static final int CHANGE_REPEATS = 200;

    /** So many nodes are listed in all by the routers whose heap is weighed. */
    private static final int WEIGHED_NODES = 20_000;

    private static final double MICROSECOND = 1_000;

    /** What may grow in a line with the nodes; in flight per node and shares do not. */
    private static final Set<String> FITTED =
            Set.of(
                    "host_calls_per_request",
                    "cpu_us_per_request",
                    "bytes_allocated_per_request",
                    "idle_cpu_us_per_second",
                    "full_list_cpu_us",
                    "one_change_cpu_us",
                    "heap_bytes_per_node");

    private final MeasurementWriter writer;

    /** Writes its measurements to a writer. */
    public RouterScale(MeasurementWriter writer) {
        this.writer = writer;
    }

    /** The first load of each size also warms the machine; that play is not written. */
    public void measure(List<RouterLoad> sizes, int plays) throws IOException {
        Map<String, List<Point>> points = new LinkedHashMap<>();
        for (RouterLoad size : sizes) {
            warmUp(size);
            for (int play = 1; play <= plays; play++) {
                Map<String, Double> figures = figures(size.withSeed(size.seed() + play - 1));
                writer.write("router", settings(size, play), figures);
                figures.forEach(
                        (name, value) ->
                                points.computeIfAbsent(name, key -> new ArrayList<>())
                                        .add(new Point(size.nodes(), value)));
            }
        }
        if (sizes.stream().mapToInt(RouterLoad::nodes).distinct().count() > 1) {
            writeFits(points, sizes, plays);
        }
    }

    private void writeFits(Map<String, List<Point>> points, List<RouterLoad> sizes, int plays)
            throws IOException {
        for (Map.Entry<String, List<Point>> figure : points.entrySet()) {
            if (!FITTED.contains(figure.getKey())) {
                continue;
            }
            LinearFit fit = LinearFit.through(figure.getValue());
            Map<String, Object> settings = settings(sizes.get(0), plays);
            settings.put("nodes", sizes.stream().map(RouterLoad::nodes).toList().toString());
            settings.put("figure", figure.getKey());
            writer.write(
                    "router-fit",
                    settings,
                    Map.of(
                            "intercept",
                            fit.intercept(),
                            "slope_per_node",
                            fit.slope(),
                            "spread",
                            fit.spread()));
        }
    }

    static Map<String, Object> settings(RouterLoad load, int play) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("nodes", load.nodes());
        settings.put("play", play);
        settings.put("proxies", load.proxies());
        settings.put("zones", load.zones());
        settings.put("requests", load.requests());
        settings.put("requests_per_second", load.perSecond());
        settings.put("latency_ms", load.latencyMillis());
        settings.put("keys", load.keys());
        settings.put("skew", load.skew());
        settings.put("seed", load.seed());
        return settings;
    }

    private static void warmUp(RouterLoad load) {
        int[] homes = KeyHomes.of(load);
        drive(load, homes).arrive(WARM_UP_REQUESTS);
        fixedDrive(load, homes).arrive(WARM_UP_REQUESTS);
        listMicroseconds(load);
        changeMicroseconds(load);
    }

    private static Map<String, Double> figures(RouterLoad load) {
        Map<String, Double> figures = new LinkedHashMap<>(requestFigures(load));
        figures.put("idle_cpu_us_per_second", idleMicroseconds(load));
        figures.put("full_list_cpu_us", listMicroseconds(load));
        figures.put("one_change_cpu_us", changeMicroseconds(load));
        figures.put("heap_bytes_per_node", heapBytesPerNode(load));
        return figures;
    }

    /** What requests cost, less what the driver itself costs. */
    private static Map<String, Double> requestFigures(RouterLoad load) {
        int[] homes = KeyHomes.of(load);
        RouterDrive fixed = fixedDrive(load, homes);
        ThreadCosts driver = ThreadCosts.of(() -> fixed.arrive(load.requests()));
        RouterDrive drive = drive(load, homes);
        ThreadCosts all = ThreadCosts.of(() -> drive.arrive(load.requests()));
        DriveCounts counts = drive.counts();
        Map<String, Double> figures = new LinkedHashMap<>(countFigures(load, counts));
        figures.put(
                "cpu_us_per_request",
                counts.perRequest((all.nanoseconds() - driver.nanoseconds()) / MICROSECOND));
        figures.put(
                "driver_cpu_us_per_request", counts.perRequest(driver.nanoseconds() / MICROSECOND));
        figures.put("bytes_allocated_per_request", counts.perRequest(all.bytes() - driver.bytes()));
        return figures;
    }

    /** Figures that hang on the seed alone. */
    static Map<String, Double> countFigures(RouterLoad load, DriveCounts counts) {
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("host_calls_per_request", counts.perRequest(counts.calls()));
        figures.put("pushes_per_request", counts.perRequest(counts.calls(HostCall.PUSH)));
        figures.put("refused_share", counts.perRequest(counts.calls(HostCall.REFUSAL)));
        figures.put("in_flight_per_node", counts.inFlightPerNode(load.nodes()));
        figures.put("home_share", counts.perRequest(counts.atHome));
        figures.put("home_busy_share", counts.perRequest(counts.homeBusy));
        figures.put("moved_from_busy_home_share", counts.perRequest(counts.movedFromBusyHome));
        figures.put("moved_from_free_home_share", counts.perRequest(counts.movedFromFreeHome));
        return figures;
    }

    /** A router that has its list, and its plan where there is one. */
    static RouterDrive drive(RouterLoad load, int[] homes) {
        RouterDrive drive = new RouterDrive(load, homes, host -> router(load, host)::handle);
        drive.tell(load.fullList());
        if (load.zones() > 0) {
            drive.tell(plan(load));
        }
        return drive;
    }

    private static RouterDrive fixedDrive(RouterLoad load, int[] homes) {
        return new RouterDrive(load, homes, host -> new FixedChoice(host, load.nodes()));
    }

    private static Router router(RouterLoad load, Host host) {
        return new Router(
                load.settings(), load.seed(), RouterLoad.START, host, WarmStartState.EMPTY);
    }

    /** A plan that keeps each key to one of the zones. */
    static Event.PlacementChanged plan(RouterLoad load) {
        return new Event.PlacementChanged(
                (point, category) -> new ZoneId((int) Math.floorMod(point, (long) load.zones())));
    }

    private static double idleMicroseconds(RouterLoad load) {
        RouterDrive drive = drive(load, new int[load.keys()]);
        ThreadCosts costs = ThreadCosts.of(() -> drive.pass(IDLE_SECONDS * RouterLoad.SECOND));
        return costs.nanoseconds() / MICROSECOND / IDLE_SECONDS;
    }

    /** The mean over lists told to routers that had none. */
    private static double listMicroseconds(RouterLoad load) {
        long nanoseconds = 0;
        for (int repeat = 0; repeat < LIST_REPEATS; repeat++) {
            RouterDrive drive =
                    new RouterDrive(load, new int[0], host -> router(load, host)::handle);
            Event.EndpointListReceived list = load.fullList();
            nanoseconds += ThreadCosts.of(() -> drive.tell(list)).nanoseconds();
        }
        return nanoseconds / MICROSECOND / LIST_REPEATS;
    }

    /** The mean over changes of one node that drains and comes back. */
    private static double changeMicroseconds(RouterLoad load) {
        RouterDrive drive = drive(load, new int[0]);
        ThreadCosts costs =
                ThreadCosts.of(
                        () -> {
                            for (int repeat = 0; repeat < CHANGE_REPEATS; repeat++) {
                                NodeState state =
                                        repeat % 2 == 0 ? NodeState.DRAINING : NodeState.READY;
                                drive.tell(load.change(1, state));
                            }
                        });
        return costs.nanoseconds() / MICROSECOND / CHANGE_REPEATS;
    }

    /** Routers with a list weigh so much more than routers without one. */
    private static double heapBytesPerNode(RouterLoad load) {
        int many = Math.max(1, WEIGHED_NODES / load.nodes());
        List<RouterDrive> drives = new ArrayList<>();
        for (int each = 0; each < many; each++) {
            drives.add(new RouterDrive(load, new int[0], host -> router(load, host)::handle));
        }
        long before = usedHeap();
        drives.forEach(drive -> drive.tell(load.fullList()));
        long after = usedHeap();
        long listed = (long) drives.size() * load.nodes();
        return (double) (after - before) / listed;
    }

    private static long usedHeap() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}

package cairnbridge.scale.datapath;

import cairnbridge.scale.LinearFit;
import cairnbridge.scale.LinearFit.Point;
import cairnbridge.scale.MeasurementWriter;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Measures each point of a plan, writes a line for each, and a fitted line for each cost. */
public final class DataPathScale {
    private static final int WARM_UP_BODY = 512;
    private static final int HELD_REQUESTS = 1_000;
    private static final long SETTLE_MILLIS = 200;
    private static final double MICROSECONDS = 1_000;
    private static final double MEGABYTE = 1_000_000;

    /** A cost, and the size that it grows with. */
    private record Slope(String figure, String by) {}

    private final DataPathPlan plan;
    private final MeasurementWriter writer;
    private final Map<Slope, List<Point>> points = new LinkedHashMap<>();

    /** Measures what a plan says and writes to a writer. */
    public DataPathScale(DataPathPlan plan, MeasurementWriter writer) {
        this.plan = plan;
        this.writer = writer;
    }

    /** An IOException where the proxy does not start or does not answer. */
    public void measure() throws IOException, InterruptedException {
        for (int repeat = 1; repeat <= plan.repeats(); repeat++) {
            for (int nodes : plan.nodes()) {
                try (MeasuredProxy proxy = new MeasuredProxy(plan, nodes)) {
                    measure(proxy, nodes, repeat);
                }
            }
        }
        writeFits();
    }

    private void measure(MeasuredProxy proxy, int nodes, int repeat)
            throws IOException, InterruptedException {
        try {
            measureNodes(proxy, nodes, repeat);
            if (nodes == plan.nodes().get(0)) {
                measureBodies(proxy, nodes, repeat);
                measureConnections(proxy, nodes, repeat);
                measureHeld(proxy, nodes, repeat);
            }
        } catch (IOException e) {
            throw new IOException(e.getMessage() + "; " + proxy.state(), e);
        }
    }

    private void measureNodes(MeasuredProxy proxy, int nodes, int repeat)
            throws IOException, InterruptedException {
        long heapBefore = proxy.liveHeapBytes();
        proxy.nodes.answerWith(WARM_UP_BODY);
        load(proxy, plan.ttlMillis()).run(plan.warmUp(), -plan.seed());
        Map<String, Double> figures = loadFigures(proxy, repeat);
        settle(plan.ttlMillis());
        figures.put("heap_bytes_before_load", (double) heapBefore);
        figures.put("heap_bytes", (double) proxy.liveHeapBytes());
        figures.put("resident_bytes", (double) proxy.residentBytes());
        write("data-path-nodes", Map.of("nodes", nodes, "body", WARM_UP_BODY), repeat, figures);
        for (String figure :
                List.of(
                        "cpu_us_per_request",
                        "heap_bytes_before_load",
                        "heap_bytes",
                        "resident_bytes")) {
            point(figure, "nodes", nodes, figures.get(figure));
        }
    }

    private void measureBodies(MeasuredProxy proxy, int nodes, int repeat)
            throws IOException, InterruptedException {
        for (int body : plan.bodies()) {
            proxy.nodes.answerWith(body);
            Map<String, Double> figures = loadFigures(proxy, repeat);
            write("data-path-body", Map.of("nodes", nodes, "body", body), repeat, figures);
            point(
                    "cpu_us_per_request",
                    "megabytes",
                    body / MEGABYTE,
                    figures.get("cpu_us_per_request"));
        }
    }

    private ClientLoad load(MeasuredProxy proxy, long ttlMillis) {
        return new ClientLoad(proxy.address(), plan.perSecond(), ttlMillis);
    }

    private Map<String, Double> loadFigures(MeasuredProxy proxy, int repeat)
            throws IOException, InterruptedException {
        long cpuBefore = proxy.cpuMillis();
        long began = System.nanoTime();
        ClientLoad.Counts counts =
                load(proxy, plan.ttlMillis()).run(plan.requests(), plan.seed() + repeat);
        double seconds = (System.nanoTime() - began) / 1e9;
        double cpuMillis = proxy.cpuMillis() - cpuBefore;
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("cpu_us_per_request", cpuMillis * MICROSECONDS / plan.requests());
        figures.put("cores_used", cpuMillis / 1000 / seconds);
        figures.put("requests_per_second", plan.requests() / seconds);
        figures.put("served", (double) counts.served());
        figures.put("not_served", (double) counts.notServed());
        figures.put("closed_by_answer", (double) counts.reopened());
        figures.put("closed_without_answer", (double) counts.lost());
        figures.put("body_bytes", (double) counts.bodyBytes());
        return figures;
    }

    private void measureConnections(MeasuredProxy proxy, int nodes, int repeat)
            throws IOException, InterruptedException {
        proxy.nodes.answerWith(WARM_UP_BODY);
        List<ClientConnection> idle = new ArrayList<>();
        try {
            for (int connections : plan.connections().stream().sorted().toList()) {
                while (idle.size() < connections) {
                    idle.add(new ClientConnection(proxy.address()));
                }
                useOnce(idle);
                settle(plan.ttlMillis());
                Map<String, Double> figures = new LinkedHashMap<>();
                figures.put("heap_bytes", (double) proxy.liveHeapBytes());
                figures.put("resident_bytes", (double) proxy.residentBytes());
                Map<String, Integer> sizes = Map.of("nodes", nodes, "connections", connections);
                write("data-path-connections", sizes, repeat, figures);
                figures.forEach((name, value) -> point(name, "connections", connections, value));
            }
        } finally {
            for (ClientConnection connection : idle) {
                connection.close();
            }
        }
    }

    /** Guards against a proxy that closes what has been idle for some seconds. */
    private void useOnce(List<ClientConnection> idle) throws IOException {
        for (int number = 0; number < idle.size(); number++) {
            ClientConnection connection = idle.get(number);
            if (connection.get(number, number, plan.ttlMillis()).closes()) {
                connection.close();
                idle.set(number, new ClientConnection(connection.proxy()));
            }
        }
    }

    /**
     * What the proxy still holds for a request that was answered, until the client's time is up.
     */
    private void measureHeld(MeasuredProxy proxy, int nodes, int repeat)
            throws IOException, InterruptedException {
        long began = System.nanoTime();
        load(proxy, plan.heldTtlMillis()).run(HELD_REQUESTS, plan.seed() + repeat);
        long held = proxy.liveHeapBytes();
        double seconds = (System.nanoTime() - began) / 1e9;
        settle(plan.heldTtlMillis());
        long settled = proxy.liveHeapBytes();
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("heap_bytes_per_request", (double) (held - settled) / HELD_REQUESTS);
        figures.put("seconds_until_weighed", seconds);
        Map<String, Integer> sizes =
                Map.of(
                        "nodes",
                        nodes,
                        "held_requests",
                        HELD_REQUESTS,
                        "ttl_ms",
                        plan.heldTtlMillis());
        write("data-path-held", sizes, repeat, figures);
    }

    /** Until no request that was asked before can be held any more. */
    private static void settle(long ttlMillis) throws InterruptedException {
        Thread.sleep(ttlMillis + SETTLE_MILLIS);
    }

    private void point(String figure, String by, double size, double value) {
        points.computeIfAbsent(new Slope(figure, by), slope -> new ArrayList<>())
                .add(new Point(size, value));
    }

    private void write(
            String name, Map<String, Integer> sizes, int repeat, Map<String, Double> figures)
            throws IOException {
        Map<String, Object> settings = new LinkedHashMap<>(sizes);
        settings.put("repeat", repeat);
        settings.put("requests", plan.requests());
        settings.put("requests_per_second", plan.perSecond());
        settings.putIfAbsent("ttl_ms", plan.ttlMillis());
        settings.put("seed", plan.seed());
        writer.write(name, settings, figures);
    }

    private void writeFits() throws IOException {
        for (Map.Entry<Slope, List<Point>> each : points.entrySet()) {
            if (each.getValue().stream().mapToDouble(Point::size).distinct().count() < 2) {
                continue;
            }
            LinearFit fit = LinearFit.through(each.getValue());
            Slope slope = each.getKey();
            Map<String, Object> settings = new LinkedHashMap<>();
            settings.put("figure", slope.figure());
            settings.put("by", slope.by());
            settings.put("points", each.getValue().size());
            settings.put("requests", plan.requests());
            settings.put("seed", plan.seed());
            writer.write(
                    "data-path-fit",
                    settings,
                    Map.of(
                            "intercept",
                            fit.intercept(),
                            "slope",
                            fit.slope(),
                            "spread",
                            fit.spread()));
        }
    }
}

package cairnbridge.scale.datapath;

import cairnbridge.drill.scenario.ProxySettings;
import cairnbridge.drill.scenario.Scenario;
import cairnbridge.drill.standin.Discovery;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A proxy as a process of its own, with stand-in cache nodes and discovery that lists them. */
final class MeasuredProxy implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Pattern SERVES = Pattern.compile(" serves on .*?:([0-9]+)$");
    private static final Pattern HEAP_USED = Pattern.compile("generation .*used ([0-9]+)K");
    private static final long START_SECONDS = 30;
    private static final long CALL_SECONDS = 20;
    private static final long END_SECONDS = 5;
    private static final long LAST_WORDS_SECONDS = 2;
    private static final long AN_HOUR_MILLIS = 3_600_000;

    /** Above twice what is held, so that no connection is closed for want of room. */
    private static final int ROOM = 3;

    final CacheNodes nodes;
    private final Discovery discovery;
    private final Path folder;
    private final Process process;
    private final CompletableFuture<Integer> port = new CompletableFuture<>();
    private volatile String lastLine = "nothing";

    MeasuredProxy(DataPathPlan plan, int listed) throws IOException, InterruptedException {
        nodes = new CacheNodes(listed);
        discovery = new Discovery(roster(nodes.addresses()), UnaryOperator.identity());
        folder = Files.createTempDirectory("cairnbridge-scale");
        process = start(plan, listed);
        Thread reader = new Thread(this::readLog, "log of the proxy");
        reader.setDaemon(true);
        reader.start();
        try {
            port.get(START_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            close();
            throw new IOException("the proxy did not start: " + e.getMessage(), e);
        }
    }

    private static Discovery.Roster roster(List<InetSocketAddress> addresses) {
        Discovery.Roster roster = new Discovery.Roster();
        long began = System.currentTimeMillis() - AN_HOUR_MILLIS;
        for (int node = 0; node < addresses.size(); node++) {
            InetSocketAddress address = addresses.get(node);
            String endpoint = address.getAddress().getHostAddress() + ":" + address.getPort();
            roster.put(
                    new Discovery.Entry(
                            "c" + (node + 1), endpoint, "a", "cache", "Ready", began, 0));
        }
        return roster;
    }

    private Process start(DataPathPlan plan, int listed) throws IOException {
        Path config = folder.resolve("config.json");
        Files.writeString(config, config(plan, listed));
        List<String> command = new ArrayList<>();
        command.add(tool("java"));
        command.add("@" + plan.machineArguments());
        command.addAll(
                List.of(
                        "-cp",
                        System.getProperty("java.class.path"),
                        "cairnbridge.cli.Main",
                        "serve"));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("LB_CONFIG", config.toString());
        builder.environment().put("TMPDIR", folder.toString());
        return builder.start();
    }

    private String config(DataPathPlan plan, int listed) {
        InetSocketAddress agent = discovery.address();
        ObjectNode root = JSON.createObjectNode();
        root.put("name", "measured").put("listen", "127.0.0.1:0");
        root.put("discovery", agent.getAddress().getHostAddress() + ":" + agent.getPort());
        root.put("seed", Long.toHexString(plan.seed()));
        root.putObject("limits").put("sockets", ROOM * plan.descriptors());
        root.putObject("known").put("all", true).putArray("targets");
        Scenario scenario =
                new Scenario(
                        "",
                        1,
                        List.of(),
                        List.of("a"),
                        listed,
                        0,
                        plan.seed(),
                        false,
                        Map.of(),
                        List.of(),
                        1);
        root.set("settings", ProxySettings.of(scenario));
        return root.toString();
    }

    private static String tool(String name) {
        return Path.of(System.getProperty("java.home"), "bin", name).toString();
    }

    private void readLog() {
        try (BufferedReader log =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = log.readLine(); line != null; line = log.readLine()) {
                lastLine = line;
                Matcher serves = SERVES.matcher(line);
                if (serves.find()) {
                    port.complete(Integer.parseInt(serves.group(1)));
                }
            }
        } catch (IOException e) {
            lastLine = e.toString();
        }
        port.completeExceptionally(new IOException("it said last: " + lastLine));
    }

    /** Where it takes clients. */
    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port.join());
    }

    /**
     * Whether it still runs, and the line of its log that came last; for the message of a fault.
     */
    String state() throws InterruptedException {
        boolean ended = process.waitFor(LAST_WORDS_SECONDS, TimeUnit.SECONDS);
        String life = ended ? "ended with status " + process.exitValue() : "still runs";
        return "the proxy " + life + " and said last: " + lastLine;
    }

    long cpuMillis() throws IOException {
        return ProcessFigures.cpuMillis(process.pid());
    }

    long residentBytes() throws IOException {
        return ProcessFigures.residentBytes(process.pid());
    }

    /** What lives on its heap, after a full collection. */
    long liveHeapBytes() throws IOException, InterruptedException {
        Matcher used = HEAP_USED.matcher(diagnose("GC.run\nGC.heap_info"));
        long kilobytes = 0;
        while (used.find()) {
            kilobytes += Long.parseLong(used.group(1));
        }
        return kilobytes * 1024;
    }

    /** One call for several commands, a line each, as every call starts a machine of its own. */
    private String diagnose(String command) throws IOException, InterruptedException {
        Process call =
                new ProcessBuilder(tool("jcmd"), Long.toString(process.pid()), command)
                        .redirectErrorStream(true)
                        .start();
        try {
            if (!call.waitFor(CALL_SECONDS, TimeUnit.SECONDS)) {
                throw new IOException("no answer to " + command);
            }
            return new String(call.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } finally {
            call.destroyForcibly();
        }
    }

    @Override
    public void close() throws IOException {
        try {
            process.destroyForcibly().waitFor(END_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        discovery.close();
        nodes.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}

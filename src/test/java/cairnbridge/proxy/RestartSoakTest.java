package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Restarts and upgrades real processes while clients send requests on persistent connections.
 * Signals and faults are drawn from a seed. The system property {@code soak.first} sets the first
 * seed, {@code soak.seeds} the number of seeds, {@code soak.crowd} the number of idle clients in
 * those runs that have some.
 */
@Timeout(90)
class RestartSoakTest extends ProxyTestSupport {
    private static final long DEFAULT_FIRST_SEED = 1;
    private static final long DEFAULT_SEEDS = 6;
    private static final List<SoakClient.Disconnects> CLIENTS =
            List.of(
                    SoakClient.Disconnects.BEFORE_SOME_RESPONSES,
                    SoakClient.Disconnects.AFTER_EACH_RESPONSE,
                    SoakClient.Disconnects.NEVER,
                    SoakClient.Disconnects.NEVER,
                    SoakClient.Disconnects.NEVER);
    private static final int IDLE_CLIENTS = Integer.getInteger("soak.crowd", 30);
    private static final int STEPS = 2;

    /**
     * Time from SIGTERM to SIGKILL: the longest TTL of the settings and the margin that the
     * platform adds.
     */
    private static final long KILL_DELAY_MILLIS = 1000 + 700;

    /** How long after SIGTERM clients still connect to a process that has no successor. */
    private static final long CONNECT_AFTER_TERM_MILLIS = 300;

    private static final long LIST_CHANGE_LIMIT_MILLIS = 6000;
    private static final Path LOG_FOLDER = Path.of("target", "soak");
    private static final HoldUpRecorder HOLD_UPS = HoldUpRecorder.start(holdUp -> {});
    private static final int RESET_INTERVAL = 8;
    private static final Pattern TRACE_ID = Pattern.compile("(?i)x-trace-id: (\\S+)");
    private static final Pattern EXPIRES_IN_MICROS = Pattern.compile("(?i)x-expires-in: (\\d+)u");

    /** What the test does to the serving process. */
    private enum Step {
        RESTART,
        RELOAD_THEN_RESTART,
        TERMINATE_TWICE,
        TERMINATE_DURING_START,
        STANDBY_AND_BACK,
        UPGRADE,
        UPGRADE_UNDER_RELOAD
    }

    private final SoakChecker checker = new SoakChecker();
    private final List<String> history = new ArrayList<>();
    private RandomGenerator random;
    private Process serving;
    private volatile boolean mayConnect;
    private volatile boolean draining;
    private boolean discoveryIsDown;
    private int adminPort;
    private String knownList;
    private Path logFile;

    static LongStream seeds() {
        long first = Long.getLong("soak.first", DEFAULT_FIRST_SEED);
        return LongStream.range(first, first + Long.getLong("soak.seeds", DEFAULT_SEEDS));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noRequestBreaksAServiceRuleDuringRestartsAndUpgrades(long seed) throws Exception {
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        mainClass = TracingProxyMain.class.getName();
        logFile = Files.createDirectories(LOG_FOLDER).resolve("seed-" + seed + ".log");
        Files.deleteIfExists(logFile);
        startStubServers();
        serving = startServing();
        List<SoakClient> clients = startClients();
        for (int i = 0; i < STEPS; i++) {
            Thread.sleep(random.nextInt(300, 900));
            perform(Step.values()[random.nextInt(Step.values().length)]);
        }
        Thread.sleep(300);
        mayConnect = false;
        clients.forEach(SoakClient::stop);
        Thread.sleep(1200);
        System.out.printf(
                "soak: seed %d, %s: %d requests, %d answered, %d raced with a close, violations:"
                        + " %s%n",
                seed,
                history,
                checker.requestCount(),
                checker.answeredCount(),
                checker.closeRaceCount(),
                checker.violations());

        for (SoakChecker.Violation each : checker.violations()) {
            printTrace(each.traceId());
        }

        assertEquals(
                List.of(),
                checker.violations(),
                () ->
                        "make soak SEED=%d SEEDS=1; %s; logs in %s"
                                .formatted(seed, history, logFile));
        assertTrue(checker.answeredCount() > 0);
    }

    /** Prints what client, proxies and servers recorded of a request. */
    private void printTrace(String traceId) throws IOException {
        long fromNanos = checker.sentNanos(traceId);
        long toNanos = checker.outcomeNanos(traceId);
        System.out.printf(
                "soak: %s: %s, test held up for %d ms%n",
                traceId, checker.timeline(traceId), HOLD_UPS.heldUpMillis(fromNanos, toNanos));
        try (Stream<String> lines = Files.lines(logFile)) {
            lines.filter(line -> line.contains("trace " + traceId + " "))
                    .forEach(line -> System.out.println("soak: " + line));
        }
    }

    private void startStubServers() throws IOException {
        boolean hangs = random.nextInt(3) == 0;
        boolean resets = random.nextInt(3) == 0;
        discoveryIsDown = random.nextInt(4) == 0;
        cache = new SoakServer(request -> serve(request, "c", false, resets));
        StubServer second = new SoakServer(request -> serve(request, "d", hangs, false));
        origin = new SoakServer(request -> serve(request, "o", false, false));
        String[] targets = {
            endpointJson("c", cache.address(), "cache", "Ready"),
            endpointJson("d", second.address(), "cache", "Ready"),
            endpointJson("o", origin.address(), "origin", "Ready")
        };
        String drained = endpointJson("d", second.address(), "cache", "Terminating");
        discovery =
                new StubServer(
                        request ->
                                discoveryIsDown
                                        ? RESET_CONNECTION
                                        : draining
                                                ? "200 OK||" + endpointListJson(2, false, drained)
                                                : "200 OK||" + endpointListJson(1, true, targets));
        knownList = endpointListJson(1, true, targets);
        port = freePort();
        history.add(
                (hangs ? "a cache hangs, " : "")
                        + (resets ? "a cache resets, " : "")
                        + (discoveryIsDown ? "discovery is down" : "discovery is up"));
    }

    /** A stub server that records when requests arrive at its connections. */
    private final class SoakServer extends StubServer {
        SoakServer(StubHandler handler) throws IOException {
            super(handler);
        }

        @Override
        InputStream inputOf(Socket socket) throws IOException {
            return new ArrivalStampedInput(socket);
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    private String serve(String request, String node, boolean hangs, boolean resets) {
        long nowNanos = System.nanoTime();
        Matcher trace = TRACE_ID.matcher(request);
        Matcher expiresIn = EXPIRES_IN_MICROS.matcher(request);
        if (trace.find() && expiresIn.find()) {
            long expiresInMillis =
                    TimeUnit.MICROSECONDS.toMillis(Long.parseLong(expiresIn.group(1)));
            checker.attempted(
                    trace.group(1),
                    node,
                    expiresInMillis,
                    ArrivalStampedInput.lastArrivalNanos(),
                    nowNanos);
            if (resets && Math.floorMod(trace.group(1).hashCode(), RESET_INTERVAL) == 0) {
                return RESET_CONNECTION;
            }
        }
        return hangs ? SILENT : HIT;
    }

    private List<SoakClient> startClients() throws IOException {
        List<SoakClient> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS.size(); i++) {
            RandomGenerator clientRandom =
                    RandomGeneratorFactory.of("L64X128MixRandom").create(random.nextLong());
            SoakClient client =
                    new SoakClient(
                            "soak-" + i,
                            checker,
                            port,
                            CLIENTS.get(i),
                            () -> mayConnect,
                            clientRandom);
            clients.add(client);
            daemon(
                    () -> {
                        client.run();
                        return null;
                    });
        }
        if (random.nextInt(3) == 0) {
            history.add("idle clients");
            for (int i = 0; i < IDLE_CLIENTS; i++) {
                closeables.add(new Socket(InetAddress.getLoopbackAddress(), port));
            }
        }
        return clients;
    }

    private Process startServing() throws IOException {
        Process process = startNext();
        BufferedReader log = logOf(process);
        portFromLog(log);
        copyLog(process, log);
        mayConnect = true;
        return process;
    }

    /** Starts a process with a new admin port. */
    private Process startNext() throws IOException {
        adminPort = freePort();
        extraConfig = "\"admin_addr\":\"127.0.0.1:%d\",".formatted(adminPort);
        config(knownList, discovery.address());
        return startProcess();
    }

    /**
     * Copies the log of a process to the log file, so that the process never blocks on writing it.
     */
    private void copyLog(Process process, BufferedReader log) {
        daemon(
                () -> {
                    for (String line = log.readLine(); line != null; line = log.readLine()) {
                        String entry = process.pid() + " " + line + System.lineSeparator();
                        Files.writeString(
                                logFile,
                                entry,
                                StandardOpenOption.CREATE,
                                StandardOpenOption.APPEND);
                    }
                    return null;
                });
    }

    private void perform(Step step) throws Exception {
        history.add(step.toString());
        if (step == Step.UPGRADE || step == Step.UPGRADE_UNDER_RELOAD) {
            upgrade(step == Step.UPGRADE_UNDER_RELOAD);
            return;
        }
        if (step == Step.STANDBY_AND_BACK) {
            callAdmin("standby");
            Thread.sleep(random.nextInt(200, 1200));
            callAdmin("active");
            return;
        }
        if (step == Step.RELOAD_THEN_RESTART) {
            sendSignal(serving, "HUP");
        }
        long termNanos = SignalSender.terminate(serving);
        if (step == Step.TERMINATE_TWICE) {
            Thread.sleep(random.nextInt(400));
            SignalSender.terminate(serving);
        }
        sleepUntil(termNanos, CONNECT_AFTER_TERM_MILLIS);
        mayConnect = false;
        killAfterDelay(serving, termNanos);
        if (step == Step.TERMINATE_DURING_START) {
            terminateDuringStart();
        }
        serving = startServing();
    }

    private void callAdmin(String command) throws IOException {
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), adminPort)) {
            caller.getOutputStream().write((command + "\n").getBytes(StandardCharsets.US_ASCII));
            String answer =
                    new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(answer.startsWith("200"), answer);
        }
    }

    private void terminateDuringStart() throws Exception {
        Process starting = startNext();
        copyLog(starting, logOf(starting));
        mayConnect = true;
        Thread.sleep(random.nextInt(200, 1500));
        long termNanos = SignalSender.terminate(starting);
        sleepUntil(termNanos, CONNECT_AFTER_TERM_MILLIS);
        mayConnect = false;
        killAfterDelay(starting, termNanos);
    }

    private void upgrade(boolean underReload) throws Exception {
        Process successor = startServing();
        if (!draining && !discoveryIsDown) {
            draining = true;
            checker.drained(
                    "d",
                    System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LIST_CHANGE_LIMIT_MILLIS));
        }
        if (underReload) {
            sendSignal(serving, "HUP");
            sendSignal(successor, "HUP");
        }
        long termNanos = SignalSender.terminate(serving);
        killAfterDelay(serving, termNanos);
        serving = successor;
    }

    /** Sends SIGKILL at the earliest time that the platform's specification allows. */
    private void killAfterDelay(Process process, long termNanos) throws Exception {
        sleepUntil(termNanos, KILL_DELAY_MILLIS);
        history.add(
                "%d terminated at %d, killed at %d"
                        .formatted(process.pid(), termNanos, System.nanoTime()));
        process.destroyForcibly().waitFor();
    }

    private static void sleepUntil(long sinceNanos, long millis) throws InterruptedException {
        long passedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
        Thread.sleep(Math.max(0, millis - passedMillis));
    }
}

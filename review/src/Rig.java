import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** What all cases share: the record, free ports, a temporary folder and the proxy's process. */
final class Rig implements AutoCloseable {
    /** The result of a case, as the exit status of its script. */
    static final int HELD = 0;

    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    private static final long LIMIT_MILLIS = 113_000;

    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    final Path root;
    final Path folder;
    final Path temporary;
    final boolean trouble;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();

    private Rig(Path root, Path folder, boolean trouble) throws IOException {
        this.root = root;
        this.folder = folder;
        this.trouble = trouble;
        temporary = Files.createTempDirectory("review");
        record = new PrintWriter(folder.resolve("record.txt").toFile(), StandardCharsets.UTF_8);
    }

    /** What a case does; returns one of the three results. */
    interface Case {
        int run(Rig rig) throws Exception;
    }

    /** Runs a case and ends this process with its result. Arguments: the root, the folder. */
    static void run(String[] arguments, Case body) {
        int result = COULD_NOT_RUN;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Rig rig = new Rig(Path.of(arguments[0]), Path.of(arguments[1]), trouble)) {
            rig.log("TROUBLE=" + (trouble ? 1 : 0));
            Runtime.getRuntime().addShutdownHook(new Thread(rig::close));
            rig.limitTime();
            try {
                result = body.run(rig);
            } catch (Exception e) {
                rig.log("could not run: " + e);
                e.printStackTrace();
            }
            rig.log(
                    "result "
                            + result
                            + (result == HELD ? ", held" : result == BROKEN ? ", BROKEN" : ""));
            System.out.println("result " + result);
        } catch (IOException e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(result);
    }

    /** Ends the case, and all that it started, before it has run for 120 s. */
    private void limitTime() {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                Thread.sleep(LIMIT_MILLIS);
                            } catch (InterruptedException e) {
                                return;
                            }
                            log("could not run: the time is up");
                            close();
                            Runtime.getRuntime().halt(COULD_NOT_RUN);
                        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Writes a line to the record, with the time since the start in milliseconds. */
    void log(String line) {
        synchronized (record) {
            record.printf(Locale.ROOT, "%9.1f %s%n", nowMillis(), line);
            record.flush();
        }
    }

    double nowMillis() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    /** A free port that the system does not give to outgoing connections meanwhile. */
    static int freePort() throws IOException {
        Random chance = new Random();
        for (int i = 0; i < 100; i++) {
            int port = 12_000 + chance.nextInt(18_000);
            try (ServerSocket socket = new ServerSocket(port, 1, LOOPBACK)) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // The port is taken.
            }
        }
        throw new IOException("no free port");
    }

    /** The settings of a small deployment of the kind of bangkok-sheets. */
    static String settings(double dialTimeoutSeconds) {
        return """
        {"azs":["z1"],"benefit-by":"request","callers":{"marks-retry":false},
         "categories":[
          {"benefit":5.0,"effect":"repeatable","group":"all","memory-span-s":5.0,"name":"sheet-view",
           "overdue-benefit":0.2,"stream":false,"target-latency-s":0.3,"ttl-s":0.75},
          {"benefit":10.0,"effect":"once","group":"all","memory-span-s":5.0,"name":"loan-record",
           "overdue-benefit":0.3,"stream":false,"target-latency-s":0.3,"ttl-s":1.2},
          {"benefit":2.0,"effect":"by_key","group":"all","memory-span-s":1.2,"name":"label-fix",
           "overdue-benefit":0.5,"stream":false,"target-latency-s":0.75,"ttl-s":2.0}],
         "domain":{"mode":"aside","origin-fall-multiple":0.0,"origin-fall-s":3.0,"origin-kind":1},
         "domain-type":"cache","excess-benefit":0.1,"granularity-s":0.005,
         "host-types":["std-1","origin"],"instances":1,
         "limits":{"cancel":true,"dial-timeout-s":DIAL,"keepalive-s":60.0,"max-open":20000,
          "max-retry-after-s":2.0,"may-probe":true,"most-pushes":6,"peer-messages":false,
          "retry-after":true,"second-copies":true,"streams-per-conn":1},
         "load-info":{"columns":[],"how":"none"},"me":0,
         "prices":{"cross-zone":0.015,"late-fail":0.11,"peer":0.0,"probe":0.01,"waste":0.049},
         "registry-mode":"automatic",
         "rules":{"answer-slack-s":0.02,"ask-within-s":10.0,"cold-from":0.32,"drain-grace-s":2.5,
          "fall-multiple":4.0,"fall-s":2.0,"warm-up-s":8.7},
         "tenants":[],"tier":0,"tiers":["sheet-cache"],"weight-kind":"nominal","zone":0}
        """
                .replace("DIAL", Double.toString(dialTimeoutSeconds));
    }

    /** A proxy that was started with the command {@code run} of the deploy file. */
    final class Proxy {
        final String name;
        final InetSocketAddress address;
        final Path log;
        Process process;

        Proxy(String name) throws IOException {
            this.name = name;
            address = new InetSocketAddress(LOOPBACK, freePort());
            log = temporary.resolve(name + ".log");
        }

        void start(DiscoveryAgent discovery, int sockets, String settings) throws IOException {
            String listen = "127.0.0.1:" + address.getPort();
            String agent = "127.0.0.1:" + discovery.port();
            String config =
                    String.format(
                            "{\"name\":\"%s\",\"listen\":\"%s\",\"discovery\":\"%s\","
                                    + "\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,"
                                    + "\"memory_mb\":192,\"sockets\":%d},\"known\":%s,\"settings\":%s}",
                            name, listen, agent, sockets, discovery.list(true), settings);
            Path file = Files.writeString(temporary.resolve(name + ".json"), config);
            Path own = Files.createDirectories(temporary.resolve(name + ".tmp"));
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
            builder.directory(root.toFile());
            builder.environment().put("LB_NAME", name);
            builder.environment().put("LB_LISTEN", listen);
            builder.environment().put("LB_DISCOVERY", agent);
            builder.environment().put("LB_CONFIG", file.toString());
            builder.environment().put("TMPDIR", own.toString());
            builder.redirectErrorStream(true).redirectOutput(log.toFile());
            process = builder.start();
            synchronized (processes) {
                processes.add(process);
            }
            log("proxy " + name + " started, process " + process.pid() + ", listens on " + listen);
        }

        /** Waits until {@code GET /-/ready} is answered with 200. */
        void awaitReady() throws Exception {
            long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
            while (System.nanoTime() < deadline) {
                if (isReady()) {
                    log("proxy " + name + " is ready");
                    return;
                }
                Thread.sleep(50);
            }
            throw new IOException("proxy " + name + " is not ready within 30 s");
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(address, 500);
                socket.setSoTimeout(500);
                socket.getOutputStream()
                        .write(
                                "GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n"
                                        .getBytes(StandardCharsets.US_ASCII));
                Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
                return answer != null && answer.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        /**
         * Records that the process has ended by itself, and tells what that means: an address that
         * another process took first is no fault of the proxy.
         */
        int crashResult() throws IOException {
            Rig.this.log("the proxy's process ended by itself with status " + process.exitValue());
            boolean taken = Files.readString(log).contains("cannot listen on");
            return taken ? COULD_NOT_RUN : BROKEN;
        }

        /** Copies the proxy's log to the record. */
        void recordLog() throws IOException {
            for (String line : Files.readAllLines(log)) {
                log("log of " + name + ": " + line);
            }
        }
    }

    private String runCommand() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring("run = \"".length(), line.lastIndexOf('"'));
            }
        }
        throw new IOException("the deploy file has no run");
    }

    @Override
    public void close() {
        synchronized (processes) {
            for (Process process : processes) {
                process.destroyForcibly();
            }
            for (Process process : processes) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            processes.clear();
        }
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            // The folder was removed before.
        }
    }
}

package cairnbridge.drill.rig;

import cairnbridge.admin.AdminClient;
import cairnbridge.store.FileStorageDirectory;
import cairnbridge.store.PersistedState;
import cairnbridge.store.WriteAheadLog;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.stream.Stream;

/**
 * One process of the program, at a loopback address of its own, with its files, its log and its
 * door.
 */
final class ProxyProcess {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int DOOR_MILLIS = 1500;
    private static final int LET_GO_MILLIS = 200;
    private static final List<String> MACHINE =
            List.of(
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Xms24m",
                    "-Xmx64m",
                    "-Xss512k",
                    "-XX:-UsePerfData",
                    "-ea");

    final String name;
    final String zone;
    final InetAddress ip;
    final InetSocketAddress clients;
    final InetSocketAddress door;
    final InetSocketAddress fleet;
    private final Path folder;
    private final BiConsumer<ProxyProcess, String> said;
    private Process process;
    volatile boolean running;
    volatile boolean frozen;
    volatile boolean serves;

    /** What it said last. */
    volatile String lastLine = "nothing";

    /** When it was last within reach of all again, in milliseconds of the drill. */
    volatile long undisturbedSince;

    /** Whether its next life can write no file. */
    volatile boolean diskFull;

    private final Queue<String> saidLines = new ConcurrentLinkedQueue<>();

    ProxyProcess(
            String name,
            String zone,
            int number,
            Path folder,
            BiConsumer<ProxyProcess, String> said)
            throws IOException {
        this.name = name;
        this.zone = zone;
        this.folder = Files.createDirectories(folder.resolve(name));
        Files.deleteIfExists(this.folder.resolve("zones.state")); // An earlier drill's.
        if (Files.exists(this.folder.resolve("store"))) {
            try (Stream<Path> files = Files.list(this.folder.resolve("store"))) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
        }
        this.said = said;
        ip = address(1, number);
        // Guards against a stream of the fleet's, which starts from its address, that takes the
        // clients'
        // port.
        InetAddress front = address(2, number);
        try (ServerSocket one = new ServerSocket(0, 1, front);
                ServerSocket two = new ServerSocket(0, 1, front);
                ServerSocket three = new ServerSocket(0, 1, ip)) {
            clients = new InetSocketAddress(front, one.getLocalPort());
            door = new InetSocketAddress(front, two.getLocalPort());
            fleet = new InetSocketAddress(ip, three.getLocalPort());
        }
    }

    /**
     * Loopback addresses that are this process's alone, so that nobody takes a port of theirs
     * meanwhile.
     */
    private static InetAddress address(int kind, int number) throws IOException {
        return InetAddress.getByAddress(
                new byte[] {127, (byte) kind, (byte) (number / 250), (byte) (number % 250 + 1)});
    }

    /** fleetFile is null where it is to run alone. */
    void start(String config, String fleetFile) throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, config);
        Path scratch = Files.createDirectories(folder.resolve("tmp"));
        List<String> command = new ArrayList<>();
        if (diskFull) {
            // The kernel refuses to let any file grow, as a full disk does.
            command.addAll(List.of("/bin/sh", "-c", "ulimit -f 0; exec \"$@\"", "full"));
        }
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(MACHINE);
        command.addAll(
                List.of(
                        "-cp",
                        System.getProperty("java.class.path"),
                        "cairnbridge.cli.Main",
                        "serve"));
        if (fleetFile != null) {
            Path fleetPath = folder.resolve("fleet.toml");
            Files.writeString(fleetPath, fleetFile);
            command.addAll(List.of("--fleet", fleetPath.toString()));
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("LB_CONFIG", file.toString());
        builder.environment().put("TMPDIR", scratch.toString());
        builder.redirectErrorStream(true);
        serves = false;
        process = builder.start();
        running = true;
        frozen = false;
        BufferedReader log =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        Thread reader = new Thread(() -> read(log), "log of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    private void read(BufferedReader log) {
        try (log) {
            for (String line = log.readLine(); line != null; line = log.readLine()) {
                serves |= line.contains(" serves on ");
                lastLine = line;
                saidLines.add(line);
                said.accept(this, line);
            }
        } catch (IOException e) {
            said.accept(this, "log ended: " + e.getMessage());
        }
    }

    /** Processor time of this life so far, in milliseconds; 0 where the machine does not tell. */
    long cpuMillis() {
        return process == null
                ? 0
                : process.info().totalCpuDuration().map(Duration::toMillis).orElse(0L);
    }

    /**
     * Memory that is its own or mapped by it at present, in kilobytes; 0 where the machine does not
     * tell.
     */
    long residentKilobytes() {
        try (Stream<String> lines =
                Files.lines(Path.of("/proc", String.valueOf(pid()), "status"))) {
            return lines.filter(line -> line.startsWith("VmRSS:"))
                    .findFirst()
                    .map(line -> Long.parseLong(line.replaceAll("\\D", "")))
                    .orElse(0L);
        } catch (IOException e) {
            return 0;
        }
    }

    /** Whether any of its lives said so. */
    boolean hasSaid(String text) {
        return saidLines.stream().anyMatch(line -> line.contains(text));
    }

    /** What it had under TMPDIR is gone. */
    void forget() throws IOException {
        Path scratch = folder.resolve("tmp");
        if (Files.exists(scratch)) {
            try (Stream<Path> files = Files.list(scratch)) {
                for (Path file : files.toList()) {
                    Files.deleteIfExists(file);
                }
            }
        }
    }

    /** Its next snapshot waits, in a pipe that nobody reads, until it is let go. */
    void stall(boolean on) throws IOException, InterruptedException {
        Path pipe = folder.resolve("store").resolve("snapshot.new");
        if (on) {
            Files.createDirectories(pipe.getParent());
            Files.deleteIfExists(pipe);
            new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor();
        } else if (Files.exists(pipe) && !Files.isRegularFile(pipe)) {
            // Reads and writes at once, so that opening it waits for nobody.
            try (FileChannel end =
                    FileChannel.open(pipe, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
                Files.delete(pipe);
                Thread.sleep(LET_GO_MILLIS);
                end.read(ByteBuffer.allocate(1));
            }
        }
    }

    private Optional<Path> newestSnapshot() throws IOException {
        try (Stream<Path> files = Files.list(folder.resolve("store"))) {
            return files.filter(file -> file.getFileName().toString().matches("snapshot-[0-9]+"))
                    .max(
                            Comparator.comparingLong(
                                    file ->
                                            Long.parseLong(
                                                    file.getFileName()
                                                            .toString()
                                                            .substring("snapshot-".length()))));
        }
    }

    /** As a machine whose clock is wrong by so much would have written it. */
    void shiftSnapshot(long millis) throws IOException {
        WriteAheadLog ledger =
                new WriteAheadLog(new FileStorageDirectory(folder.resolve("store")), "drill");
        PersistedState kept = ledger.open().state();
        ledger.writeSnapshot(kept.withClockAhead(millis));
        ledger.writeSnapshot(kept.withClockAhead(millis)); // The one before is of the same machine.
    }

    void tearSnapshot() throws IOException {
        Optional<Path> newest = newestSnapshot();
        if (newest.isPresent()) {
            byte[] whole = Files.readAllBytes(newest.get());
            Files.write(newest.get(), Arrays.copyOf(whole, whole.length / 2));
        }
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    void kill() throws InterruptedException {
        running = false;
        serves = false;
        if (process != null) {
            process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        }
    }

    /** Kills it and waits for nothing. */
    void end() {
        running = false;
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /** A planned end; it goes on until it is done. */
    void terminate() {
        running = false;
        serves = false;
        process.destroy();
    }

    void freeze(boolean on) throws IOException, InterruptedException {
        frozen = on;
        new ProcessBuilder("kill", on ? "-STOP" : "-CONT", String.valueOf(pid())).start().waitFor();
    }

    /** What its door answers to one call; an IOException where it says nothing in time. */
    String ask(String call) throws IOException {
        return AdminClient.sendRequest(door, call, DOOR_MILLIS);
    }

    /** Its view of the fleet. */
    JsonNode members() throws IOException {
        return JSON.readTree(ask("members-json"));
    }

    /** One of its figures; -1 where it has none of this name. */
    long figure(String figure) throws IOException {
        return ask("stats")
                .lines()
                .filter(line -> line.startsWith("lb." + figure + ":"))
                .findFirst()
                .map(
                        line ->
                                Long.parseLong(
                                        line.substring(line.indexOf(':') + 1, line.indexOf('|'))))
                .orElse(-1L);
    }
}

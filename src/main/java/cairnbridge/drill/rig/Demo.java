package cairnbridge.drill.rig;

import cairnbridge.drill.scenario.Scenario;
import cairnbridge.drill.scenario.ScenarioFile;
import cairnbridge.drill.standin.Clients;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * Three proxies in two zones that keep a view of one another, four caches, an origin and clients,
 * in the foreground.
 */
public final class Demo {
    private static final String SCENARIO =
            """
            # a small fleet at work
            fleet 3
            seeds p1
            zones a b
            caches 4
            clients 60
            start all
            """;
    private static final long SAY_MILLIS = 2_000;
    private static final long START_MILLIS = 60_000;
    private static final long LOOK_MILLIS = 50;
    private final Path folder;
    private final Consumer<String> out;

    /** A demo that keeps its files in a folder and prints to a consumer. */
    public Demo(Path folder, Consumer<String> out) {
        this.folder = folder;
        this.out = out;
    }

    /** seconds: how long, 0 for as long as the process lives. True if ops were served. */
    public boolean run(int seconds) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        Scenario scenario = ScenarioFile.read(SCENARIO);
        EventLog events = new EventLog(folder.resolve("events.jsonl"));
        Rig rig = new Rig(scenario, folder, events);
        Thread end = new Thread(rig::close, "demo's end");
        Runtime.getRuntime().addShutdownHook(end);
        try {
            for (ProxyProcess proxy : rig.proxies()) {
                rig.start(proxy.name);
            }
            long from = events.millis();
            while (!rig.proxies().stream().allMatch(proxy -> proxy.serves)) {
                if (events.millis() - from > START_MILLIS
                        || rig.proxies().stream().anyMatch(p -> !p.isAlive())) {
                    out.accept("a proxy has not started, see " + folder.resolve("events.jsonl"));
                    return false;
                }
                Thread.sleep(LOOK_MILLIS);
            }
            where(rig);
            rig.load("", scenario.load());
            long until = seconds == 0 ? Long.MAX_VALUE : events.millis() + seconds * 1000L;
            while (events.millis() < until) {
                Thread.sleep(Math.min(SAY_MILLIS, Math.max(1, until - events.millis())));
                say(rig);
            }
            return rig.clients().get(0).served.sum() > 0;
        } finally {
            rig.close();
            events.close();
        }
    }

    private void where(Rig rig) {
        ProxyProcess first = rig.proxy("p1");
        out.accept("three proxies, four caches, an origin and " + 60 + " ops a second; try:");
        out.accept(
                "  curl -i -H 'X-Trace-Id: 1' -H 'X-Expires-In: 800m' http://"
                        + Rig.text(first.clients)
                        + "/view/7f3a");
        out.accept("  java -jar target/cairnbridge.jar members --admin " + Rig.text(first.door));
        out.accept(
                "  echo stats | nc -q 1 "
                        + first.door.getAddress().getHostAddress()
                        + " "
                        + first.door.getPort());
        for (ProxyProcess proxy : rig.proxies()) {
            out.accept(
                    "  kill -9 "
                            + proxy.pid()
                            + "    # "
                            + proxy.name
                            + ", zone "
                            + proxy.zone
                            + ", and watch "
                            + "the others find out");
        }
        out.accept("  less " + folder.resolve("events.jsonl") + "    # all that happens");
    }

    private void say(Rig rig) throws IOException {
        Clients clients = rig.clients().get(0);
        long alive = -1;
        for (ProxyProcess proxy : rig.running()) {
            if (proxy.isAlive()) {
                alive = Math.max(alive, proxy.figure("fleet.alive"));
            }
        }
        out.accept(
                String.format(
                        Locale.ROOT,
                        "%d ops, %.2f%% served, %d refused, %d failed, %d lost; %d members alive",
                        clients.asked.sum(),
                        100 * clients.share(),
                        clients.refused.sum(),
                        clients.failed.sum(),
                        clients.lost.sum(),
                        alive));
    }
}

package cairnbridge.drill.rig;

import cairnbridge.drill.link.LinkRule;
import cairnbridge.drill.link.Links;
import cairnbridge.drill.link.Relay;
import cairnbridge.drill.scenario.HomeParts;
import cairnbridge.drill.scenario.ProxySettings;
import cairnbridge.drill.scenario.Scenario;
import cairnbridge.drill.standin.CacheNode;
import cairnbridge.drill.standin.Clients;
import cairnbridge.drill.standin.Discovery;
import cairnbridge.drill.standin.Origin;
import cairnbridge.drill.standin.World;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A fleet of real processes on loopback addresses, with its stand-ins, and a relay on every way
 * between two of them. It does what it is told and says what it sees; whether that is well is the
 * drill's to say.
 */
final class Rig implements AutoCloseable {
    /** A death is false if its subject could be heard for so long before. */
    private static final long HEARD_MILLIS = 8_000;

    private static final int SAMPLE_MILLIS = 100;
    private static final Pattern DEATH = Pattern.compile("fleet: (\\S+) at \\S+ is dead, was");
    private static final Pattern ROW =
            Pattern.compile("zones: epoch (\\d+) by \\S+: (\\S+) -> (.*):");
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Scenario scenario;
    private final EventLog events;
    private final Links links;
    private final Relay relay;
    private final World world = new World();
    private final Discovery.Roster roster = new Discovery.Roster();
    private final Map<String, ProxyProcess> proxies = new LinkedHashMap<>();
    private final Map<String, CacheNode> caches = new LinkedHashMap<>();
    private final Map<String, Discovery> agents = new HashMap<>();
    private final Map<String, InetSocketAddress> relayed = new HashMap<>();
    private final Map<String, InetSocketAddress> streams = new ConcurrentHashMap<>();
    private final Map<InetAddress, String> byAddress = new ConcurrentHashMap<>();
    private final Map<String, String> protocols = new HashMap<>();
    private final Map<String, String> lives = new HashMap<>();
    private final Map<String, InetSocketAddress> taking = new ConcurrentHashMap<>();
    private final List<String> falseDeaths = new CopyOnWriteArrayList<>();
    private final List<String> hints = new CopyOnWriteArrayList<>();
    private final Origin origin;

    /** Clients of one zone's proxies by zone, and those of all under an empty name. */
    private final Map<String, Clients> clients = new ConcurrentHashMap<>();

    private final HomeParts homeParts = new HomeParts();
    private final List<CacheNode> gone = new ArrayList<>();
    private final List<Clients> ended = new ArrayList<>();

    /** Ops served so far, every tenth of a second: the time and the count. */
    private final List<long[]> servedAt = new CopyOnWriteArrayList<>();

    private final Map<String, Long> servesSince = new ConcurrentHashMap<>();
    private volatile long peak;
    private Thread sampler;

    Rig(Scenario scenario, Path folder, EventLog events) throws IOException {
        this.scenario = scenario;
        this.events = events;
        links = new Links(scenario.seed());
        relay = new Relay(links);
        origin = new Origin(world);
        Files.writeString(folder.resolve("fleet.secret"), "a secret of the drill's own\n");
        for (int i = 1; i <= scenario.caches(); i++) {
            CacheNode cache = new CacheNode(world, "c" + i, zone(i));
            caches.put(cache.uid(), cache);
            roster.put(
                    new Discovery.Entry(
                            cache.uid(),
                            text(cache.address()),
                            cache.zone(),
                            "cache",
                            "Ready",
                            0,
                            0));
        }
        roster.put(
                new Discovery.Entry(
                        "origin", text(origin.address()), zone(1), "origin", "Ready", 0, 0));
        for (int i = 1; i <= scenario.members(); i++) {
            ProxyProcess proxy = new ProxyProcess("p" + i, zone(i), i, folder, this::said);
            proxies.put(proxy.name, proxy);
            byAddress.put(proxy.ip, proxy.name);
            relayed.put(
                    proxy.name,
                    relay.open(
                            proxy.name,
                            proxy.fleet,
                            address -> byAddress.getOrDefault(address, "stranger")));
            agents.put(proxy.name, new Discovery(roster, entry -> seenBy(proxy.name, entry)));
        }
    }

    private String zone(int number) {
        return scenario.zones().get((number - 1) % scenario.zones().size());
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Each proxy reaches a cache through a relay of its own. */
    private Discovery.Entry seenBy(String proxy, Discovery.Entry entry) {
        CacheNode cache = caches.get(entry.uid());
        if (cache == null) {
            return entry;
        }
        InetSocketAddress at =
                streams.computeIfAbsent(
                        proxy + ">" + cache.uid(),
                        way -> {
                            try {
                                return relay.openStream(proxy, cache.uid(), cache.address());
                            } catch (IOException e) {
                                throw new java.io.UncheckedIOException(e);
                            }
                        });
        return new Discovery.Entry(
                entry.uid(),
                text(at),
                entry.zone(),
                entry.kind(),
                entry.state(),
                entry.began(),
                entry.rev());
    }

    // What the processes say.

    private void said(ProxyProcess proxy, String line) {
        events.event("log", proxy.name, line);
        if (line.contains(" serves on ")) {
            taking.put(proxy.name, proxy.clients);
            servesSince.put(proxy.name, events.millis());
        }
        if (line.contains("cannot reach node")) {
            hints.add(proxy.name + " " + line.substring(line.lastIndexOf(' ') + 1));
        }
        Matcher row = ROW.matcher(line);
        if (row.find()) {
            Matcher home = Pattern.compile("\\b" + row.group(2) + " (\\d+)").matcher(row.group(3));
            homeParts.tell(
                    row.group(2),
                    Long.parseLong(row.group(1)),
                    home.find() ? Integer.parseInt(home.group(1)) : 0);
        }
        Matcher death = DEATH.matcher(line);
        if (death.find()) {
            ProxyProcess subject = proxies.get(death.group(1));
            boolean wrong =
                    subject != null
                            && subject.running
                            && !subject.frozen
                            && proxy.running
                            && !proxy.frozen
                            && events.millis()
                                            - Math.max(
                                                    subject.undisturbedSince,
                                                    proxy.undisturbedSince)
                                    > HEARD_MILLIS
                            && !links.rule(proxy.name, subject.name).cut()
                            && !links.rule(subject.name, proxy.name).cut();
            if (wrong) {
                falseDeaths.add(proxy.name + " held " + subject.name + " dead");
                events.event("false-death", proxy.name, subject.name);
            }
        }
    }

    List<String> falseDeaths() {
        return falseDeaths;
    }

    List<String> hints() {
        return hints;
    }

    World world() {
        return world;
    }

    Origin origin() {
        return origin;
    }

    CacheNode cache(String uid) {
        return caches.get(uid);
    }

    /** All clients there are and were. */
    List<Clients> clients() {
        List<Clients> all = new ArrayList<>(ended);
        all.addAll(clients.values());
        return all;
    }

    /** Of a zone's home part, at most over all zones. */
    int reversals() {
        return homeParts.reversals();
    }

    /** The most fetches of the origin in one second since the last count. */
    long originPeak() {
        return peak;
    }

    void countPeak() {
        peak = 0;
        if (sampler == null) {
            sampler =
                    new Thread(
                            () -> {
                                long last = origin.fetches.sum();
                                int tenths = 0;
                                while (!Thread.currentThread().isInterrupted()) {
                                    try {
                                        Thread.sleep(SAMPLE_MILLIS);
                                    } catch (InterruptedException e) {
                                        return;
                                    }
                                    servedAt.add(new long[] {events.millis(), served()});
                                    if (tenths % 5 == 0) {
                                        events.event("clients", "all", tally());
                                    }
                                    if (++tenths % (1000 / SAMPLE_MILLIS) != 0) {
                                        continue;
                                    }
                                    long now = origin.fetches.sum();
                                    peak = Math.max(peak, now - last);
                                    last = now;
                                }
                            },
                            "origin's rate");
            sampler.setDaemon(true);
            sampler.start();
        }
    }

    /** What clients have counted since the start. */
    String tally() {
        long[] sums = new long[6];
        for (Clients each : clients()) {
            sums[0] += each.asked.sum();
            sums[1] += each.served.sum();
            sums[2] += each.refused.sum();
            sums[3] += each.failed.sum();
            sums[4] += each.lost.sum();
            sums[5] += each.repeats.sum();
        }
        return "asked "
                + sums[0]
                + ", served "
                + sums[1]
                + ", refused "
                + sums[2]
                + ", failed "
                + sums[3]
                + ", lost "
                + sums[4]
                + ", repeats "
                + sums[5]
                + "; origin fetches "
                + origin.fetches.sum()
                + ", turned away "
                + origin.turnedAway.sum();
    }

    private long served() {
        return clients().stream().mapToLong(each -> each.served.sum()).sum();
    }

    /** Ops served a second between two times of the drill, as sampled. */
    double servedBetween(long from, long to) {
        return to <= from ? 0 : (servedBy(to) - servedBy(from)) * 1000.0 / (to - from);
    }

    private long servedBy(long millis) {
        long count = 0;
        for (long[] each : servedAt) {
            if (each[0] > millis) {
                break;
            }
            count = each[1];
        }
        return count;
    }

    /** When the first of those that serve began to, after a time of the drill. */
    long firstServing(long after) {
        return servesSince.values().stream()
                .mapToLong(each -> each)
                .filter(each -> each >= after)
                .min()
                .orElse(after);
    }

    /** Ops that all clients ask for in a second. */
    int loadNow() {
        return clients.values().stream().mapToInt(Clients::perSecond).sum();
    }

    /**
     * Proxies and caches stop in one instant; what was in memory or under a proxy's TMPDIR is gone.
     */
    void losePower(List<String> names) throws IOException, InterruptedException {
        List<ProxyProcess> lost =
                proxies.values().stream().filter(proxy -> names.contains(proxy.name)).toList();
        lost.forEach(proxy -> taking.remove(proxy.name));
        lost.forEach(ProxyProcess::end);
        names.stream().filter(caches::containsKey).forEach(this::killCache);
        for (ProxyProcess proxy : lost) {
            proxy.kill();
            proxy.forget();
        }
        events.event("power-loss", String.join(",", names), "");
    }

    /** Starts all, each at a time of its own within the span. */
    void startOver(List<String> names, long millis) {
        RandomGenerator chance =
                RandomGeneratorFactory.of("L64X128MixRandom").create(scenario.seed());
        for (String name : names) {
            long in = chance.nextLong(millis + 1);
            Thread thread =
                    new Thread(
                            () -> {
                                try {
                                    Thread.sleep(in);
                                    start(name);
                                } catch (IOException | InterruptedException e) {
                                    events.event("start", name, "failed: " + e);
                                }
                            },
                            "start of " + name);
            thread.setDaemon(true);
            thread.start();
        }
    }

    /** Discovery has lost its last changes. */
    void listBack(int changes) {
        roster.back(changes);
        events.event("list-back", "discovery", String.valueOf(changes));
    }

    long felled() {
        long felled = 0;
        for (CacheNode cache : caches.values()) {
            felled += cache.behavior().timesFallenOver();
        }
        for (CacheNode cache : gone) {
            felled += cache.behavior().timesFallenOver();
        }
        return felled;
    }

    /** Its connections are refused from now on; the list says nothing of it. */
    void killCache(String uid) {
        CacheNode cache = caches.get(uid);
        gone.add(cache);
        cache.close();
        relay.shut(uid);
        events.event("kill", uid, "");
    }

    /** Starts empty, at another port; the list tells at once. */
    void startCache(String uid) throws IOException {
        CacheNode cache = new CacheNode(world, uid, caches.get(uid).zone());
        caches.put(uid, cache);
        streams.keySet().removeIf(way -> way.endsWith(">" + uid));
        roster.put(
                new Discovery.Entry(
                        uid,
                        text(cache.address()),
                        cache.zone(),
                        "cache",
                        "Ready",
                        cache.began(),
                        0));
        events.event("start", uid, "cold");
    }

    ProxyProcess proxy(String name) {
        return proxies.get(name);
    }

    Collection<ProxyProcess> proxies() {
        return proxies.values();
    }

    /** Those that run and are not frozen. */
    List<ProxyProcess> running() {
        return proxies.values().stream().filter(each -> each.running && !each.frozen).toList();
    }

    long listCalls() {
        return agents.values().stream().mapToLong(agent -> agent.calls.sum()).sum();
    }

    // What is done to them.

    synchronized void start(String name) throws IOException {
        ProxyProcess proxy = proxies.get(name);
        proxy.undisturbedSince = events.millis();
        proxy.start(config(proxy), scenario.together() ? fleetFile(proxy) : null);
        events.event("start", name, "process " + proxy.pid());
    }

    void kill(String name) throws InterruptedException {
        taking.remove(name);
        proxies.get(name).kill();
        events.event("kill", name, "");
    }

    void terminate(String name) {
        taking.remove(name);
        proxies.get(name).terminate();
        events.event("stop", name, "");
    }

    void freeze(String name, boolean on) throws IOException, InterruptedException {
        ProxyProcess proxy = proxies.get(name);
        proxy.undisturbedSince = events.millis();
        proxy.freeze(on);
        events.event(on ? "freeze" : "thaw", name, "");
    }

    void life(String name, String life) {
        lives.put(name, life);
    }

    void protocol(String name, String protocol) {
        protocols.put(name, protocol);
    }

    void change(String from, String to, UnaryOperator<LinkRule> change) {
        links.change(from, to, change);
    }

    /** Changes all ways between two different members. */
    void changeAll(UnaryOperator<LinkRule> change) {
        for (String from : proxies.keySet()) {
            proxies.keySet().stream()
                    .filter(to -> !to.equals(from))
                    .forEach(to -> links.change(from, to, change));
        }
    }

    void heal() {
        links.heal();
        proxies.values().forEach(each -> each.undisturbedSince = events.millis());
    }

    void discovery(boolean up, List<String> names) {
        names.forEach(name -> agents.get(name).down(!up));
    }

    /** What the list says of a cache from now on. */
    void lists(String uid, String state) {
        roster.change(uid, state);
    }

    /**
     * Clients of one zone's proxies, or of all where it is empty, so many ops a second; those
     * before end.
     */
    void load(String zone, int perSecond) {
        Clients before = clients.remove(zone);
        if (before != null) {
            before.close();
            ended.add(before);
        }
        if (perSecond > 0) {
            clients.put(
                    zone,
                    new Clients(
                            () ->
                                    taking.entrySet().stream()
                                            .filter(
                                                    each ->
                                                            zone.isEmpty()
                                                                    || proxies.get(each.getKey())
                                                                            .zone
                                                                            .equals(zone))
                                            .map(Map.Entry::getValue)
                                            .toList(),
                            perSecond,
                            Clients.KEYS,
                            scenario.seed() + zone.hashCode()));
        }
    }

    private String config(ProxyProcess proxy) {
        ObjectNode root = JSON.createObjectNode();
        root.put("name", proxy.name)
                .put("listen", text(proxy.clients))
                .put("admin_addr", text(proxy.door));
        root.put("discovery", text(agents.get(proxy.name).address()))
                .put("seed", Integer.toHexString(proxy.name.hashCode() + (int) scenario.seed()));
        root.putObject("limits").put("sockets", 512);
        root.putObject("known").put("all", true).putArray("targets");
        root.set("settings", ProxySettings.of(scenario));
        return root.toPrettyString();
    }

    /**
     * A member says that it is where the relay listens for it, so that all who come pass through.
     */
    private String fleetFile(ProxyProcess proxy) {
        StringBuilder text = new StringBuilder();
        text.append("cluster = \"drill\"\nsecret-file = \"../fleet.secret\"\nzone = \"")
                .append(proxy.zone)
                .append("\"\nregion = \"r\"\nbind = \"")
                .append(text(proxy.fleet))
                .append("\"\nadvertise = \"")
                .append(text(relayed.get(proxy.name)))
                .append("\"\nseeds = [");
        scenario.seeds()
                .forEach(seed -> text.append('"').append(text(relayed.get(seed))).append("\", "));
        text.append("]\n");
        if (protocols.containsKey(proxy.name)) {
            text.append("protocol = ").append(protocols.get(proxy.name)).append('\n');
        }
        if (lives.containsKey(proxy.name)) {
            text.append("life = ").append(lives.remove(proxy.name)).append('\n');
        }
        Map<String, List<String>> tables = new LinkedHashMap<>();
        scenario.keys()
                .forEach(
                        (key, value) -> {
                            int dot = key.indexOf('.');
                            tables.computeIfAbsent(
                                            dot < 0 ? "" : key.substring(0, dot),
                                            table -> new ArrayList<>())
                                    .add(key.substring(dot + 1) + " = " + value);
                        });
        tables.getOrDefault("", List.of()).forEach(line -> text.append(line).append('\n'));
        tables.remove("");
        tables.forEach(
                (table, lines) ->
                        text.append('[')
                                .append(table)
                                .append("]\n")
                                .append(String.join("\n", lines))
                                .append('\n'));
        return text.toString();
    }

    /** Kills all processes at once. */
    void end() {
        proxies.values().forEach(ProxyProcess::end);
    }

    @Override
    public void close() {
        List.copyOf(clients.keySet()).forEach(zone -> load(zone, 0));
        if (sampler != null) {
            sampler.interrupt();
        }
        proxies.values().forEach(Rig::killUnlessInterrupted);
        agents.values().forEach(Discovery::close);
        caches.values().forEach(CacheNode::close);
        origin.close();
        relay.close();
    }

    private static void killUnlessInterrupted(ProxyProcess proxy) {
        try {
            proxy.kill();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

package cairnbridge.lab.run;

import cairnbridge.config.JsonObject;
import cairnbridge.config.SettingsReader;
import cairnbridge.decision.Event;
import cairnbridge.decision.Event.NodeState;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Settings;
import cairnbridge.drill.scenario.ProxySettings;
import cairnbridge.drill.scenario.Scenario;
import cairnbridge.drill.scenario.Step;
import cairnbridge.drill.standin.Clients;
import cairnbridge.lab.model.CacheModel;
import cairnbridge.lab.model.ClientsModel;
import cairnbridge.lab.model.Keys;
import cairnbridge.lab.model.Net;
import cairnbridge.lab.model.OriginModel;
import cairnbridge.lab.model.ProxyModel;
import cairnbridge.lab.model.RosterModel;
import cairnbridge.lab.policy.Policy;
import cairnbridge.simulation.EventQueue;
import cairnbridge.zones.plan.Zone;
import cairnbridge.zones.routing.ZoneRouter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.IntStream;

/**
 * The models of one run: proxies with the real decision code, caches, the origin, clients and what
 * the scenario does to them. It does what it is told; what has to hold is checked elsewhere.
 */
final class EmulatedFleet {
    /** From a proxy's start until it takes clients. */
    static final long STARTS = EventQueue.SECOND;

    static final long EPOCH = 1_700_000_000L * EventQueue.SECOND;
    private static final double SAME_ZONE_MS = 0.25;
    private static final double OTHER_ZONE_MS = 0.25;
    private static final double TAIL_MS = 0.1;
    private static final long NET_CHANCE = 1;
    private static final long FIRST_CLIENTS_CHANCE = 100;

    final Scenario scenario;
    private final Policy.Maker policy;
    private final long seed;
    final EventQueue agenda = new EventQueue(EPOCH);
    private final Settings settings;
    private final Net net;
    private final Keys keys = new Keys(Clients.KEYS);
    final OriginModel origin;
    final RosterModel roster;
    final Map<String, CacheModel> caches = new LinkedHashMap<>();
    private final Map<NodeId, String> uids = new HashMap<>();
    final Map<String, ProxyModel> proxies = new LinkedHashMap<>();

    /** The proxies that take clients. */
    final Map<String, ProxyModel> taking = new LinkedHashMap<>();

    private final Map<String, ClientsModel> clients = new LinkedHashMap<>();
    final ClientsModel.Counts counts = new ClientsModel.Counts();
    private final long[] traces = {0};
    private final List<CacheModel> gone = new ArrayList<>();
    final FleetSide fleet;
    private final Set<String> heldNodes = new LinkedHashSet<>();
    private final Map<String, Long> askedBefore = new HashMap<>();
    private final Map<String, Long> versionBefore = new HashMap<>();
    private long lives;

    EmulatedFleet(Scenario scenario, Policy.Maker policy, long seed) {
        this.scenario = scenario;
        this.policy = policy;
        this.seed = seed;
        settings =
                SettingsReader.read(
                        JsonObject.parse(ProxySettings.of(scenario).toString(), "settings"));
        net = new Net(chance(NET_CHANCE), SAME_ZONE_MS, OTHER_ZONE_MS, TAIL_MS);
        origin = new OriginModel(agenda, scenario.size());
        roster = new RosterModel(agenda, scenario.zones());
        fleet = new FleetSide(scenario, settings, agenda, roster, seed);
        for (int i = 1; i <= scenario.caches(); i++) {
            cache("c" + i, zone(i), 0);
        }
        uids.put(RosterModel.id("origin"), "origin");
        roster.put("origin", 1, zone(1), NodeState.READY, 0);
    }

    /**
     * A generator that depends on the run's seed only.
     *
     * @param part which use it serves; each use draws from numbers of its own
     */
    RandomGenerator chance(long part) {
        return RandomGeneratorFactory.of("L64X128MixRandom").create(seed * 1_000_003 + part);
    }

    private String zone(int number) {
        return scenario.zones().get((number - 1) % scenario.zones().size());
    }

    private void cache(String uid, String zone, long began) {
        CacheModel cache = new CacheModel(agenda, zone);
        caches.put(uid, cache);
        uids.put(RosterModel.id(uid), uid);
        roster.put(uid, 0, zone, NodeState.READY, began);
    }

    /** The proxies that run, are not frozen and hold a zone plan. */
    List<ProxyModel> planning() {
        return proxies.values().stream()
                .filter(proxy -> proxy.isRunning() && !proxy.isFrozen() && proxy.zones() != null)
                .toList();
    }

    /** Ops that all proxies have placed by their zone plans, as one of the counters has it. */
    long placed(Function<ZoneRouter.Counts, LongAdder> which) {
        return proxies.values().stream()
                .filter(proxy -> proxy.zones() != null)
                .mapToLong(proxy -> which.apply(proxy.zones().counts()).sum())
                .sum();
    }

    /** Ops that all proxies have placed by their zone plans, or shed. */
    long placed() {
        return placed(counts -> counts.local)
                + placed(counts -> counts.remote)
                + placed(counts -> counts.shed);
    }

    /** Whether by every plan a zone serves just this part of its traffic itself. */
    boolean servesAtHome(String name, int part) {
        Zone zone = new Zone(name);
        return planning().stream()
                .allMatch(proxy -> proxy.zones().plan().routeOf(zone).shareOf(zone) == part);
    }

    /** Starts a proxy, or starts it anew; it takes clients after {@link #STARTS}. */
    void start(String name) {
        int number = Integer.parseInt(name.substring(1));
        long life = ++lives;
        ProxyModel proxy = new ProxyModel(name, zone(number), agenda, net, new Found());
        proxy.by(
                policy.make(
                        settings, seed * 7_919 + life, agenda.now(), proxy, fleet.starts(proxy)));
        proxies.put(name, proxy);
        if (fleet.keeps()) {
            heldNodes.forEach(
                    uid -> proxy.tell(new Event.MaintenanceChanged(RosterModel.id(uid), true)));
        }
        roster.follows(proxy);
        agenda.schedule(STARTS, () -> takeClients(proxy));
    }

    /** Sends clients to a proxy that has started, unless it was ended or replaced meanwhile. */
    private void takeClients(ProxyModel proxy) {
        if (proxy.isRunning() && proxies.get(proxy.name()) == proxy) {
            taking.put(proxy.name(), proxy);
        }
    }

    /**
     * Ends a proxy.
     *
     * @param atOnce whether it ends without finishing what it has accepted
     */
    void kill(String name, boolean atOnce) {
        ProxyModel proxy = proxies.get(name);
        taking.remove(name);
        if (proxy != null) {
            roster.leaves(proxy);
            if (proxy.back() != null) {
                versionBefore.merge(name, proxy.back().version(), Math::max);
            }
            fleet.ends(name, !atOnce);
            agenda.schedule(atOnce ? 0 : EventQueue.SECOND, proxy::kill);
            agenda.runUntil(agenda.now());
        }
    }

    /** Ends a cache: it refuses connections from now on. */
    void killCache(String uid) {
        CacheModel cache = caches.get(uid);
        askedBefore.computeIfPresent(uid, (same, before) -> before - cache.asked());
        cache.kill();
        gone.add(cache);
        proxies.values().forEach(proxy -> proxy.broken(RosterModel.id(uid)));
    }

    /**
     * Replaces the clients of one zone's proxies, or of all where the zone is empty.
     *
     * @param perSecond ops that they ask for in a second; 0 for no clients
     */
    void load(String zone, int perSecond) {
        ClientsModel before = clients.remove(zone);
        if (before != null) {
            before.end();
        }
        if (perSecond > 0) {
            clients.put(zone, newClients(zone, perSecond));
        }
    }

    private ClientsModel newClients(String zone, int perSecond) {
        return new ClientsModel(
                agenda,
                net,
                chance(FIRST_CLIENTS_CHANCE + clients.size() + lives),
                () -> takingIn(zone),
                keys,
                zone.isEmpty() ? zone(1) : zone,
                perSecond,
                counts,
                traces);
    }

    private List<ProxyModel> takingIn(String zone) {
        return taking.values().stream()
                .filter(ProxyModel::isRunning)
                .filter(proxy -> zone.isEmpty() || proxy.zone().equals(zone))
                .toList();
    }

    /** How many times a cold cache has fallen over, of all caches so far. */
    long felled() {
        long felled = 0;
        for (CacheModel cache : gone) {
            felled += cache.behavior().timesFallenOver();
        }
        for (CacheModel cache : caches.values()) {
            felled += gone.contains(cache) ? 0 : cache.behavior().timesFallenOver();
        }
        return felled;
    }

    /** Parts the net into the sides that a step names. */
    void cut(Step step) {
        int side = 0;
        for (String part : String.join("", step.words()).split("\\|")) {
            side++;
            if (!part.equals("rest")) {
                List<String> names = new Step(step.line(), step.verb(), List.of(part)).names(0);
                moveToSide(names, side);
            }
        }
    }

    private void moveToSide(List<String> names, int side) {
        for (String name : names) {
            fleet.net().nodes().stream()
                    .filter(node -> node.id.name().equals(name))
                    .forEach(node -> fleet.net().side(node, side));
        }
    }

    /** The proxies that a step names in one of its words; all where it says so. */
    List<String> members(Step step, int word) {
        List<String> names = step.names(word);
        return names.equals(List.of("all")) ? members() : names;
    }

    /** The names of all proxies of the scenario, whether they run or not. */
    List<String> members() {
        return IntStream.rangeClosed(1, scenario.members()).mapToObj(i -> "p" + i).toList();
    }

    /** Lets simulated time pass. */
    void pass(long millis) {
        agenda.runUntil(agenda.now() + millis * EventQueue.MILLI);
    }

    /** Stops a proxy where it is, as a signal to its process does, or lets it go on. */
    void freeze(String name, boolean on) {
        proxies.get(name).freeze(on);
        fleet.freezes(name, on);
    }

    /** Ends a proxy or a cache without warning. */
    void losePower(String name) {
        if (caches.containsKey(name)) {
            killCache(name);
        } else {
            kill(name, true);
        }
    }

    /** Starts a cache again, empty, in the zone where it was. */
    void startCache(String uid) {
        cache(uid, caches.get(uid).zone(), agenda.now());
    }

    /** Tells all proxies that staff hold a node out of use, or no longer. */
    void hold(String uid, boolean on) {
        if (on) {
            heldNodes.add(uid);
        } else {
            heldNodes.remove(uid);
        }
        proxies.values()
                .forEach(
                        proxy -> proxy.tell(new Event.MaintenanceChanged(RosterModel.id(uid), on)));
        askedBefore.put(uid, caches.get(uid).asked());
    }

    /** Requests that a cache has had since it was held or freed, or since it started. */
    long askedSinceHeld(String uid) {
        return caches.get(uid).asked() - askedBefore.getOrDefault(uid, 0L);
    }

    /** Whether every proxy that was ended holds a list at least as new as before its end. */
    boolean holdsNoOlderList() {
        return versionBefore.entrySet().stream()
                .allMatch(each -> proxies.get(each.getKey()).back().version() >= each.getValue());
    }

    /** Where a proxy finds nodes: by what the list names, as they are at present. */
    private final class Found implements ProxyModel.Nodes {
        @Override
        public CacheModel cache(NodeId node) {
            CacheModel cache = caches.get(uids.getOrDefault(node, ""));
            return cache != null && cache.isAlive() ? cache : null;
        }

        @Override
        public OriginModel origin(NodeId node) {
            return node == null || "origin".equals(uids.get(node)) ? origin : null;
        }

        @Override
        public String zone(NodeId node) {
            String uid = uids.get(node);
            if (uid == null) {
                return null;
            }
            return uid.equals("origin") ? EmulatedFleet.this.zone(1) : caches.get(uid).zone();
        }
    }
}

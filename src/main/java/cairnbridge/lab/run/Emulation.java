package cairnbridge.lab.run;

import cairnbridge.config.ConfigFault;
import cairnbridge.config.SettingsReader;
import cairnbridge.config.Tree;
import cairnbridge.decision.Event;
import cairnbridge.decision.Event.State;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Settings;
import cairnbridge.drill.scenario.ProxySettings;
import cairnbridge.drill.scenario.Scenario;
import cairnbridge.drill.scenario.ScenarioFault;
import cairnbridge.drill.scenario.Step;
import cairnbridge.drill.simulated.Agenda;
import cairnbridge.drill.simulated.SimulatedNet;
import cairnbridge.drill.standin.Clients;
import cairnbridge.lab.model.CacheModel;
import cairnbridge.lab.model.ClientsModel;
import cairnbridge.lab.model.Keys;
import cairnbridge.lab.model.Net;
import cairnbridge.lab.model.OriginModel;
import cairnbridge.lab.model.ProxyModel;
import cairnbridge.lab.model.RosterModel;
import cairnbridge.lab.policy.Policy;
import cairnbridge.recovery.Phase;
import cairnbridge.zones.plan.Row;
import cairnbridge.zones.plan.Zone;
import cairnbridge.zones.use.ZonePlacement;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.HdrHistogram.HistogramIterationValue;

/**
 * Plays a drill's scenario on models, with the real decision code at every proxy, in simulated
 * time. Make one with a scenario, a policy and a seed, and run it once; the same three give the
 * same record, byte for byte. A step that is not modelled is a ScenarioFault that names its line,
 * before anything is played.
 */
public final class Emulation {
    /** From a proxy's start until it takes clients. */
    static final long STARTS = Agenda.SECOND;

    private static final long SAMPLE = Agenda.SECOND / 2,
            QUIET = 4 * Agenda.SECOND,
            EPOCH = 1_700_000_000L * Agenda.SECOND;
    private static final int TICKS_A_HALVING = 4;
    private static final double SAME_ZONE_MS = 0.25, OTHER_ZONE_MS = 0.25, TAIL_MS = 0.1;

    private final Scenario scenario;
    private final Policy.Maker policy;
    private final long seed;
    private final Agenda agenda = new Agenda(EPOCH);
    private final Settings settings;
    private final Net net;
    private final Keys keys = new Keys(Clients.KEYS);
    private final OriginModel origin;
    private final RosterModel roster;
    private final Map<String, CacheModel> caches = new LinkedHashMap<>();
    private final Map<NodeId, String> uids = new HashMap<>();
    private final Map<String, ProxyModel> proxies = new LinkedHashMap<>();

    /** Since when each takes clients. */
    private final Map<String, ProxyModel> taking = new LinkedHashMap<>();

    private final Map<String, ClientsModel> clients = new LinkedHashMap<>();
    private final ClientsModel.Counts counts = new ClientsModel.Counts();
    private final long[] traces = {0};
    private final List<CacheModel> gone = new ArrayList<>();
    private final List<Outcome.Sample> samples = new ArrayList<>();
    private final List<Outcome.Check> checks = new ArrayList<>();
    private final FleetSide fleet;
    private final Set<String> heldNodes = new LinkedHashSet<>();
    private final Map<String, Long> askedBefore = new HashMap<>(), versionBefore = new HashMap<>();
    private double earlier;
    private long powerAt;
    private long lives, servedBefore, endedBefore, fetchesBefore, nearBefore, placedBefore, peak;
    private boolean held = true;

    public Emulation(Scenario scenario, Policy.Maker policy, long seed) {
        this.scenario = scenario;
        this.policy = policy;
        this.seed = seed;
        scenario.steps().forEach(Emulation::isModelled);
        for (String key : scenario.keys().keySet()) {
            if (!key.startsWith("recovery.") && !key.startsWith("zones.")) {
                throw new ConfigFault(key, "is not modelled yet");
            }
        }
        settings =
                SettingsReader.read(Tree.parse(ProxySettings.of(scenario).toString(), "settings"));
        net = new Net(chance(1), SAME_ZONE_MS, OTHER_ZONE_MS, TAIL_MS);
        origin = new OriginModel(agenda, scenario.size());
        roster = new RosterModel(agenda, scenario.zones());
        fleet = new FleetSide(scenario, settings, agenda, roster, seed);
        for (int i = 1; i <= scenario.caches(); i++) {
            cache("c" + i, zone(i), 0);
        }
        uids.put(RosterModel.id("origin"), "origin");
        roster.put("origin", 1, zone(1), State.READY, 0);
    }

    private RandomGenerator chance(long part) {
        return RandomGeneratorFactory.of("L64X128MixRandom").create(seed * 1_000_003 + part);
    }

    private String zone(int number) {
        return scenario.zones().get((number - 1) % scenario.zones().size());
    }

    private void cache(String uid, String zone, long began) {
        CacheModel cache = new CacheModel(agenda, zone);
        caches.put(uid, cache);
        uids.put(RosterModel.id(uid), uid);
        roster.put(uid, 0, zone, State.READY, began);
    }

    private static void isModelled(Step step) {
        switch (step.verb()) {
            case START,
                    WAIT,
                    KILL,
                    STOP,
                    FREEZE,
                    THAW,
                    CACHE_SLOW,
                    CACHE_FAILS,
                    CACHE_GREY,
                    CACHE_KILL,
                    CACHE_START,
                    CACHE_LISTED,
                    ORIGIN_SLOW,
                    ORIGIN_PLACES,
                    DISCOVERY,
                    LOAD,
                    ZONE_LOAD,
                    COUNT,
                    SERVED,
                    ANSWERED_IN_TIME,
                    NO_EFFECT_TWICE,
                    NONE_FELLED,
                    ORIGIN_PEAK,
                    ORIGIN_TURNED_AWAY,
                    POWER_LOSS,
                    POWER_BACK,
                    COST,
                    AGREE,
                    LOSS,
                    CUT,
                    ONE_WAY,
                    HEAL,
                    NOBODY_FALSELY_DEAD,
                    EARLIER,
                    START_OVER,
                    SERVING,
                    CONFIRMED,
                    RECOVERED,
                    SERVICE_BACK,
                    LIST_BACK,
                    NOTHING_BACK,
                    SNAPSHOT_OLDER,
                    SNAPSHOT_AHEAD,
                    SNAPSHOT_TORN,
                    HOLD,
                    FREE,
                    UNTOUCHED,
                    TOUCHED,
                    DRAIN,
                    RESTORE,
                    ZONE_OUT,
                    ZONE_HOME,
                    ZONES_SETTLED,
                    REVERSALS,
                    NEAR -> {}
            default ->
                    throw new ScenarioFault(
                            step.line(), step.verb().word() + " is not modelled yet");
        }
    }

    /** Plays all steps; ends at the first that does not hold. */
    public Outcome run() {
        if (scenario.caches() > 0 && scenario.load() > 0) {
            load("", scenario.load());
        }
        sample();
        for (Step step : scenario.steps()) {
            take(step);
            if (!held) {
                break;
            }
        }
        Map<String, String> crashes = new LinkedHashMap<>();
        proxies.values().stream()
                .filter(proxy -> !proxy.crash().isEmpty())
                .forEach(proxy -> crashes.put(proxy.name(), proxy.crash()));
        long felled = felled();
        return new Outcome(
                held && crashes.isEmpty(),
                (agenda.now() - EPOCH) / Agenda.MILLI,
                counts.asked,
                counts.served,
                counts.refused,
                counts.failed,
                counts.lost,
                counts.repeats,
                origin.fetches(),
                origin.turnedAway(),
                origin.twice(),
                felled,
                proxies.values().stream().mapToLong(ProxyModel::pushes).sum(),
                agenda.done(),
                counts.spans.getValueAtPercentile(50) / 10.0,
                counts.spans.getValueAtPercentile(99) / 10.0,
                spans(),
                List.copyOf(samples),
                List.copyOf(checks),
                crashes);
    }

    private Map<String, Outcome.ZoneCount> zoneCounts() {
        Map<String, Outcome.ZoneCount> zones = new LinkedHashMap<>();
        counts.zones.forEach(
                (zone, count) -> zones.put(zone, new Outcome.ZoneCount(count[0], count[1])));
        return zones;
    }

    private List<Outcome.Span> spans() {
        List<Outcome.Span> spans = new ArrayList<>();
        if (counts.spans.getTotalCount() > 0) {
            for (HistogramIterationValue each : counts.spans.percentiles(TICKS_A_HALVING)) {
                spans.add(
                        new Outcome.Span(
                                each.getPercentileLevelIteratedTo(),
                                each.getValueIteratedTo() / 10.0));
            }
        }
        return spans;
    }

    private Map<String, Integer> homeParts() {
        Map<String, Integer> parts = new LinkedHashMap<>();
        planning().stream()
                .max(Comparator.comparingLong(proxy -> proxy.zones().plan().epoch()))
                .ifPresent(
                        proxy ->
                                scenario.zones()
                                        .forEach(
                                                name ->
                                                        parts.put(
                                                                name,
                                                                proxy.zones()
                                                                        .plan()
                                                                        .row(new Zone(name))
                                                                        .to(new Zone(name)))));
        return parts;
    }

    private void sample() {
        long fetched = origin.fetches() + origin.writes();
        samples.add(
                new Outcome.Sample(
                        (agenda.now() - EPOCH) / Agenda.MILLI,
                        counts.asked,
                        counts.served,
                        counts.refused,
                        counts.failed,
                        counts.lost,
                        counts.repeats,
                        fetched,
                        zoneCounts(),
                        (int) proxies.values().stream().filter(ProxyModel::isRunning).count(),
                        (int) taking.values().stream().filter(ProxyModel::isRunning).count(),
                        fleet.leastHeld(),
                        fleet.mostHeld(),
                        (int)
                                proxies.values().stream()
                                        .filter(
                                                proxy ->
                                                        proxy.isRunning()
                                                                && proxy.back() != null
                                                                && proxy.back().phase()
                                                                        != Phase.ALL)
                                        .count(),
                        homeParts()));
        if (samples.size() > 2) {
            peak = Math.max(peak, fetched - samples.get(samples.size() - 3).fetches());
        }
        agenda.in(SAMPLE, this::sample);
    }

    private List<String> members(Step step, int word) {
        List<String> names = step.names(word);
        if (!names.equals(List.of("all"))) {
            return names;
        }
        List<String> all = new ArrayList<>();
        for (int i = 1; i <= scenario.members(); i++) {
            all.add("p" + i);
        }
        return all;
    }

    private void take(Step step) {
        switch (step.verb()) {
            case START -> {
                members(step, 0).forEach(this::start);
                agenda.until(agenda.now() + STARTS + 1);
            }
            case WAIT -> agenda.until(agenda.now() + step.millis(0) * Agenda.MILLI);
            case KILL, STOP ->
                    members(step, 0).forEach(name -> kill(name, step.verb() == Step.Verb.KILL));
            case FREEZE, THAW ->
                    members(step, 0)
                            .forEach(
                                    name -> {
                                        proxies.get(name).freeze(step.verb() == Step.Verb.FREEZE);
                                        fleet.freezes(name, step.verb() == Step.Verb.FREEZE);
                                    });
            case CACHE_SLOW ->
                    caches.get(step.words().get(0))
                            .behavior()
                            .serviceTime(step.millis(1) * Agenda.MILLI);
            case CACHE_FAILS ->
                    step.names(0).forEach(uid -> caches.get(uid).behavior().failing(isYes(step)));
            case CACHE_GREY ->
                    step.names(0).forEach(uid -> caches.get(uid).behavior().grey(isYes(step)));
            case CACHE_KILL -> step.names(0).forEach(this::killCache);
            case CACHE_START ->
                    step.names(0).forEach(uid -> cache(uid, caches.get(uid).zone(), agenda.now()));
            case CACHE_LISTED ->
                    step.names(0)
                            .forEach(
                                    uid ->
                                            roster.state(
                                                    uid,
                                                    switch (step.words().get(1)) {
                                                        case "Ready" -> State.READY;
                                                        case "Gone" -> State.GONE;
                                                        default -> State.DRAINING;
                                                    }));
            case ORIGIN_SLOW -> origin.span(step.millis(0) * Agenda.MILLI);
            case ORIGIN_PLACES -> origin.places(step.number(0));
            case DISCOVERY -> {
                boolean down = step.words().get(0).equals("down");
                List<String> names =
                        step.words().size() > 1
                                ? members(step, 1)
                                : members(new Step(step.line(), step.verb(), List.of("all")), 0);
                names.forEach(name -> roster.down(name, down));
            }
            case POWER_LOSS ->
                    step.names(0)
                            .forEach(
                                    name -> {
                                        if (caches.containsKey(name)) {
                                            killCache(name);
                                        } else {
                                            kill(name, true);
                                        }
                                    });
            case COST -> holds(step, true, "not looked at on models: a proxy costs nothing there");
            case POWER_BACK -> powerAt = agenda.now();
            case LOSS -> fleet.net().loss = step.part(0);
            case CUT -> cut(step);
            case ONE_WAY ->
                    step.names(0)
                            .forEach(
                                    from -> step.names(1).forEach(to -> fleet.cutOneWay(from, to)));
            case HEAL -> fleet.heals();
            case HOLD, FREE -> {
                String uid = step.words().get(0);
                boolean on = step.verb() == Step.Verb.HOLD;
                if (on) {
                    heldNodes.add(uid);
                } else {
                    heldNodes.remove(uid);
                }
                proxies.values()
                        .forEach(proxy -> proxy.tell(new Event.Held(RosterModel.id(uid), on)));
                askedBefore.put(uid, caches.get(uid).asked());
            }
            case SNAPSHOT_OLDER, SNAPSHOT_AHEAD ->
                    members(step, 0)
                            .forEach(
                                    name ->
                                            fleet.shifts(
                                                    name,
                                                    step.millis(1)
                                                            * (step.verb()
                                                                            == Step.Verb
                                                                                    .SNAPSHOT_OLDER
                                                                    ? -1
                                                                    : 1)));
            case SNAPSHOT_TORN -> members(step, 0).forEach(fleet::tears);
            case LIST_BACK -> roster.back(step.number(0));
            case EARLIER -> {
                long before = counts.served;
                agenda.until(agenda.now() + step.millis(0) * Agenda.MILLI);
                earlier = 1000.0 * (counts.served - before) / step.millis(0);
            }
            case START_OVER -> {
                powerAt = agenda.now();
                RandomGenerator when = chance(50);
                members(step, 0)
                        .forEach(
                                name ->
                                        agenda.in(
                                                when.nextLong(step.millis(1) * Agenda.MILLI + 1),
                                                () -> start(name)));
            }
            case LOAD -> load("", step.number(0));
            case ZONE_LOAD -> load(step.words().get(0), step.number(1));
            case COUNT -> {
                servedBefore = counts.served;
                endedBefore = counts.ended();
                fetchesBefore = origin.fetches();
                nearBefore = placed(counts -> counts.near);
                placedBefore = placed();
                peak = 0;
            }
            case DRAIN, RESTORE -> {
                String call = step.verb().word() + " " + String.join(" ", step.words());
                String answer = planning().get(0).zones().staff(call);
                holds(step, answer.startsWith("200 "), answer);
            }
            default -> check(step);
        }
    }

    /** Those that run and hold a plan. */
    private List<ProxyModel> planning() {
        return proxies.values().stream()
                .filter(proxy -> proxy.isRunning() && !proxy.isFrozen() && proxy.zones() != null)
                .toList();
    }

    private long placed(Function<ZonePlacement.Counts, LongAdder> which) {
        return proxies.values().stream()
                .filter(proxy -> proxy.zones() != null)
                .mapToLong(proxy -> which.apply(proxy.zones().counts()).sum())
                .sum();
    }

    private long placed() {
        return placed(counts -> counts.near)
                + placed(counts -> counts.far)
                + placed(counts -> counts.shed);
    }

    private boolean servesAtHome(String name, int part) {
        Zone zone = new Zone(name);
        return planning().stream()
                .allMatch(proxy -> proxy.zones().plan().row(zone).to(zone) == part);
    }

    /** One epoch, and no step for some seconds. */
    private void settled(Step step) {
        Set<Long> last = new LinkedHashSet<>();
        long[] since = {agenda.now()};
        within(
                step,
                1,
                () -> {
                    Set<Long> epochs = new LinkedHashSet<>();
                    planning().forEach(proxy -> epochs.add(proxy.zones().plan().epoch()));
                    if (!epochs.equals(last)) {
                        last.clear();
                        last.addAll(epochs);
                        since[0] = agenda.now();
                    }
                    return epochs.size() == 1 && agenda.now() - since[0] >= QUIET;
                },
                "one epoch, no step for " + QUIET / Agenda.SECOND + " s");
    }

    private static boolean isYes(Step step) {
        return step.words().get(1).equals("yes");
    }

    private void start(String name) {
        int number = Integer.parseInt(name.substring(1));
        long life = ++lives;
        ProxyModel proxy = new ProxyModel(name, zone(number), agenda, net, new Found());
        proxy.by(
                policy.make(
                        settings, seed * 7_919 + life, agenda.now(), proxy, fleet.starts(proxy)));
        proxies.put(name, proxy);
        if (fleet.keeps()) {
            heldNodes.forEach(uid -> proxy.tell(new Event.Held(RosterModel.id(uid), true)));
        }
        roster.follows(proxy);
        agenda.in(
                STARTS,
                () -> {
                    if (proxy.isRunning() && proxies.get(name) == proxy) {
                        taking.put(name, proxy);
                    }
                });
    }

    /** At once, or once what it has taken is over. */
    private void kill(String name, boolean atOnce) {
        ProxyModel proxy = proxies.get(name);
        taking.remove(name);
        if (proxy != null) {
            roster.leaves(proxy);
            if (proxy.back() != null) {
                versionBefore.merge(name, proxy.back().version(), Math::max);
            }
            fleet.ends(name, !atOnce);
            agenda.in(atOnce ? 0 : Agenda.SECOND, proxy::kill);
            agenda.until(agenda.now());
        }
    }

    private void killCache(String uid) {
        CacheModel cache = caches.get(uid);
        askedBefore.computeIfPresent(uid, (same, before) -> before - cache.asked());
        cache.kill();
        gone.add(cache);
        proxies.values().forEach(proxy -> proxy.broken(RosterModel.id(uid)));
    }

    private void load(String zone, int perSecond) {
        ClientsModel before = clients.remove(zone);
        if (before != null) {
            before.end();
        }
        if (perSecond > 0) {
            clients.put(
                    zone,
                    new ClientsModel(
                            agenda,
                            net,
                            chance(100 + clients.size() + lives),
                            () ->
                                    taking.values().stream()
                                            .filter(
                                                    proxy ->
                                                            proxy.isRunning()
                                                                    && (zone.isEmpty()
                                                                            || proxy.zone()
                                                                                    .equals(zone)))
                                            .toList(),
                            keys,
                            zone.isEmpty() ? zone(1) : zone,
                            perSecond,
                            counts,
                            traces));
        }
    }

    private long felled() {
        long felled = 0;
        for (CacheModel cache : gone) {
            felled += cache.behavior().timesFallenOver();
        }
        for (CacheModel cache : caches.values()) {
            felled += gone.contains(cache) ? 0 : cache.behavior().timesFallenOver();
        }
        return felled;
    }

    private void cut(Step step) {
        int side = 0;
        for (String part : String.join("", step.words()).split("\\|")) {
            side++;
            if (!part.equals("rest")) {
                for (String name : new Step(step.line(), step.verb(), List.of(part)).names(0)) {
                    for (SimulatedNet.Node node : fleet.net().nodes()) {
                        if (node.id.name().equals(name)) {
                            fleet.net().side(node, side);
                        }
                    }
                }
            }
        }
    }

    /** Lets time pass until it holds, or no longer; says how long that took. */
    private void within(Step step, int word, BooleanSupplier what, String good) {
        long from = agenda.now();
        long most = step.millis(word) * Agenda.MILLI;
        while (!what.getAsBoolean() && agenda.now() - from < most) {
            agenda.until(agenda.now() + Agenda.SECOND / 10);
        }
        holds(
                step,
                what.getAsBoolean(),
                good + " after " + (agenda.now() - from) / Agenda.MILLI + " ms");
    }

    private boolean all(Step step, Predicate<ProxyModel> what) {
        return members(step, 0).stream()
                .map(proxies::get)
                .allMatch(proxy -> proxy != null && what.test(proxy));
    }

    /** From when power is back, as the drill counts it. */
    private void serviceBack(Step step) {
        double wanted = step.part(0) * earlier;
        long[] back = {-1};
        within(
                step,
                2,
                () -> {
                    for (int i = 2; i < samples.size() && back[0] < 0; i++) {
                        long began = samples.get(i - 2).millis();
                        boolean enough =
                                samples.get(i).served() - samples.get(i - 2).served() >= wanted;
                        if (began >= (powerAt - EPOCH) / Agenda.MILLI && enough) {
                            back[0] = began - (powerAt - EPOCH) / Agenda.MILLI;
                        }
                    }
                    return back[0] >= 0;
                },
                step.words().get(0) + " of the service is back");
        checks.add(
                new Outcome.Check(
                        step.line(),
                        step.verb().word(),
                        back[0] >= 0,
                        "back " + back[0] + " ms after the power"));
    }

    private void check(Step step) {
        switch (step.verb()) {
            case AGREE -> within(step, 1, () -> fleet.net().disagreement().isEmpty(), "all agree");
            case NOBODY_FALSELY_DEAD ->
                    holds(
                            step,
                            fleet.falseDeaths() == 0,
                            fleet.falseDeaths() + " times one that could be heard was held dead");
            case SERVING ->
                    within(
                            step,
                            2,
                            () -> all(step, proxy -> taking.containsValue(proxy)),
                            "all serve");
            case CONFIRMED ->
                    within(
                            step,
                            2,
                            () ->
                                    all(
                                            step,
                                            proxy ->
                                                    proxy.back() != null
                                                            && proxy.back().isConfirmed()),
                            "each has a confirmed list");
            case RECOVERED ->
                    within(
                            step,
                            2,
                            () ->
                                    all(
                                            step,
                                            proxy ->
                                                    proxy.back() != null
                                                            && proxy.back().phase() == Phase.ALL),
                            "each holds nothing back");
            case SERVICE_BACK -> serviceBack(step);
            case NOTHING_BACK ->
                    within(
                            step,
                            1,
                            () ->
                                    versionBefore.entrySet().stream()
                                            .allMatch(
                                                    each ->
                                                            proxies.get(each.getKey())
                                                                            .back()
                                                                            .version()
                                                                    >= each.getValue()),
                            "no list is lower");
            case ZONE_OUT ->
                    within(
                            step,
                            2,
                            () -> servesAtHome(step.words().get(0), 0),
                            "zone " + step.words().get(0) + " is out of use");
            case ZONE_HOME ->
                    within(
                            step,
                            2,
                            () -> servesAtHome(step.words().get(0), Row.ALL),
                            "zone " + step.words().get(0) + " serves its own");
            case ZONES_SETTLED -> settled(step);
            case REVERSALS ->
                    holds(
                            step,
                            fleet.reversals() <= step.number(1),
                            fleet.reversals() + " reversals of a zone");
            case NEAR -> {
                long all = Math.max(1, placed() - placedBefore);
                double part = (double) (placed(counts -> counts.near) - nearBefore) / all;
                holds(
                        step,
                        part >= step.part(1),
                        String.format(Locale.ROOT, "%.4f of %d ops placed near", part, all));
            }
            case UNTOUCHED -> {
                String uid = step.words().get(0);
                long sent = caches.get(uid).asked() - askedBefore.getOrDefault(uid, 0L);
                holds(step, sent == 0, sent + " sent to " + uid);
            }
            case TOUCHED ->
                    within(
                            step,
                            2,
                            () -> caches.get(step.words().get(0)).asked() > 0,
                            step.words().get(0) + " is in use");
            case SERVED -> {
                long all = Math.max(1, counts.ended() - endedBefore);
                double part = (double) (counts.served - servedBefore) / all;
                holds(
                        step,
                        part >= step.part(1),
                        String.format(Locale.ROOT, "%.4f of %d ops were served", part, all));
            }
            case ANSWERED_IN_TIME -> {
                double part = 1 - (double) counts.lost / Math.max(1, counts.ended());
                holds(
                        step,
                        part >= step.part(1),
                        String.format(
                                Locale.ROOT, "%.4f of %d ops were answered", part, counts.ended()));
            }
            case NO_EFFECT_TWICE ->
                    holds(step, origin.twice() == 0, origin.twice() + " effects twice");
            case NONE_FELLED ->
                    holds(step, felled() == 0, felled() + " times a cold cache was pushed over");
            case ORIGIN_PEAK ->
                    holds(step, peak <= step.number(1), peak + " fetches in the worst second");
            default ->
                    holds(
                            step,
                            origin.turnedAway() <= step.number(1),
                            origin.turnedAway() + " turned away by the origin");
        }
    }

    private void holds(Step step, boolean holds, String figures) {
        held &= holds;
        checks.add(new Outcome.Check(step.line(), step.verb().word(), holds, figures));
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
            return uid == null
                    ? null
                    : uid.equals("origin") ? Emulation.this.zone(1) : caches.get(uid).zone();
        }
    }
}

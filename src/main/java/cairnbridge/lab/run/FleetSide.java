package cairnbridge.lab.run;

import cairnbridge.config.FleetConfig;
import cairnbridge.decision.Settings;
import cairnbridge.decision.WarmStartState;
import cairnbridge.drill.scenario.HomeParts;
import cairnbridge.drill.scenario.Scenario;
import cairnbridge.drill.simulated.SimulatedDisk;
import cairnbridge.drill.simulated.SimulatedNet;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.member.MemberMetrics;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import cairnbridge.fleet.member.RecoveryProgress;
import cairnbridge.fleet.membership.MembershipEvent;
import cairnbridge.fleet.membership.MembershipView;
import cairnbridge.fleet.membership.SwimSettings;
import cairnbridge.lab.model.ProxyModel;
import cairnbridge.lab.model.ReturnModel;
import cairnbridge.lab.model.RosterModel;
import cairnbridge.lab.model.ZonesModel;
import cairnbridge.recovery.DurableState;
import cairnbridge.recovery.FleetSnapshot;
import cairnbridge.recovery.RecoveryCoordinator;
import cairnbridge.recovery.RecoveryPhase;
import cairnbridge.recovery.RecoverySettings;
import cairnbridge.recovery.RestoredState;
import cairnbridge.recovery.StateValidator;
import cairnbridge.simulation.EventQueue;
import cairnbridge.store.PersistedState;
import cairnbridge.time.Ticks;
import cairnbridge.zones.ZonePlanCoordinator;
import cairnbridge.zones.ZoneSettings;
import cairnbridge.zones.consensus.AcceptorStateFile;
import cairnbridge.zones.plan.Zone;
import cairnbridge.zones.plan.ZoneHealth;
import java.io.IOException;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.IntStream;

/**
 * What proxies of a fleet have beside their policy: the view, by the program's own Membership on a
 * simulated net, and the return after a loss of power, by its own Recovery, with a disk that keeps
 * what was so at the last snapshot. Nothing of it where a scenario's proxies are alone.
 */
final class FleetSide {
    private static final String CLUSTER = "lab";
    private static final long TICK = EventQueue.SECOND / 4;
    private static final long CALL = 10 * EventQueue.MILLI;
    private static final long CALL_TIME_OUT = 2 * EventQueue.SECOND;
    private static final long UNDISTURBED = 8 * EventQueue.SECOND;

    /** What a proxy's disk holds, and its list beside it. */
    private record OnDisk(PersistedState kept, ReturnModel.Listed list, WarmStartState learnt) {}

    private final Scenario scenario;
    private final Settings settings;
    private final EventQueue agenda;
    private final RosterModel roster;
    private final long seed;
    private final Optional<RecoverySettings> recovery;
    private final Optional<ZoneSettings> zones;

    /** Where voters keep what they have promised; they outlive their processes. */
    private final Map<String, SimulatedDisk> registers = new HashMap<>();

    private final HomeParts homeParts = new HomeParts();
    private final RandomGenerator ways;
    private final Map<String, Long> began = new HashMap<>();
    private final SimulatedNet net;
    private final Map<String, SimulatedNet.Node> members = new LinkedHashMap<>();
    private final Map<String, ProxyModel> proxies = new LinkedHashMap<>();
    private final Map<String, Long> lives = new HashMap<>();
    private final Map<String, Long> undisturbed = new HashMap<>();
    private final Map<String, OnDisk> disks = new HashMap<>();
    private long falseDeaths;

    FleetSide(
            Scenario scenario,
            Settings settings,
            EventQueue agenda,
            RosterModel roster,
            long seed) {
        this.scenario = scenario;
        this.settings = settings;
        this.agenda = agenda;
        this.roster = roster;
        this.seed = seed;
        StringBuilder text = new StringBuilder();
        scenario.keys()
                .forEach((key, value) -> text.append(key).append(" = ").append(value).append('\n'));
        zones = scenario.together() ? FleetConfig.zonesOf(text.toString()) : Optional.empty();
        boolean kept = scenario.together() && scenario.keys().containsKey("recovery.folder");
        recovery = kept ? FleetConfig.recoveryOf(text.toString(), CLUSTER) : Optional.empty();
        ways = RandomGeneratorFactory.of("L64X128MixRandom").create(seed * 17 + 5);
        net = new SimulatedNet(SwimSettings.DEFAULT, seed, agenda);
        net.watcher =
                (holder, before, after, why) -> {
                    if (after.status() == MemberStatus.DEAD) {
                        died(holder, after);
                    }
                };
        if (scenario.together()) {
            agenda.schedule(TICK, this::tick);
        }
    }

    private void died(SimulatedNet.Node holder, MemberState after) {
        SimulatedNet.Node subject = members.get(after.id().name());
        boolean wrong =
                subject != null
                        && subject.running
                        && !subject.frozen
                        && subject.side == holder.side
                        && agenda.now()
                                        - Math.max(
                                                undisturbed.get(after.id().name()),
                                                undisturbed.get(holder.id.name()))
                                > UNDISTURBED;
        falseDeaths += wrong ? 1 : 0;
    }

    /** What is on a proxy's disk was written by a machine whose clock is off by so much. */
    void shifts(String name, long millis) {
        disks.computeIfPresent(
                name,
                (same, disk) ->
                        new OnDisk(disk.kept().withClockAhead(millis), disk.list(), disk.learnt()));
    }

    /** The newest snapshot cannot be read: the one before counts. */
    void tears(String name) {
        recovery.ifPresent(kept -> shifts(name, -kept.store().snapshotIntervalMillis()));
    }

    /** Whether anything is kept over a loss of power. */
    boolean keeps() {
        return recovery.isPresent();
    }

    long falseDeaths() {
        return falseDeaths;
    }

    SimulatedNet net() {
        return net;
    }

    /** A proxy starts: what it begins with. To be called before its policy is made. */
    WarmStartState starts(ProxyModel proxy) {
        proxies.put(proxy.name(), proxy);
        undisturbed.put(proxy.name(), agenda.now());
        if (!scenario.together()) {
            return WarmStartState.EMPTY;
        }
        OnDisk disk =
                disks.getOrDefault(
                        proxy.name(),
                        new OnDisk(
                                PersistedState.empty(CLUSTER),
                                ReturnModel.Listed.NONE,
                                WarmStartState.EMPTY));
        long unixMillis = agenda.now() / EventQueue.MILLI;
        long life = Math.max(unixMillis, lives.getOrDefault(proxy.name(), 0L) + 1);
        lives.put(proxy.name(), life);
        SimulatedNet.Node[] seeds =
                scenario.seeds().stream()
                        .filter(members::containsKey)
                        .map(members::get)
                        .toArray(SimulatedNet.Node[]::new);
        if (members.containsKey(proxy.name())) {
            net.start(members.get(proxy.name()), life, seeds);
        } else {
            members.put(proxy.name(), net.add(proxy.name(), life, seeds));
        }
        began.put(proxy.name(), agenda.now());
        zones.ifPresent(config -> plans(proxy, config, life));
        if (recovery.isEmpty()) {
            return WarmStartState.EMPTY;
        }
        RestoredState trusted =
                new StateValidator(
                                CLUSTER,
                                "boot",
                                unixMillis,
                                Ticks.toMillis(recovery.get().maxStateAge()))
                        .validate(disk.kept());
        ReturnModel model =
                new ReturnModel(
                        agenda,
                        settings.origin().machineKind(),
                        trusted.endpointList().version() > 0
                                ? disk.list()
                                : ReturnModel.Listed.NONE);
        model.by(
                new RecoveryCoordinator(
                        recovery.get(),
                        trusted,
                        new RecoveryCoordinator.Deployment(
                                settings.categories(),
                                settings.proxy().count(),
                                settings.origin().machineKind(),
                                settings.attempts().mayCheckHealth(),
                                proxy.name(),
                                proxy.zone()),
                        RandomGeneratorFactory.of("L64X128MixRandom").create(seed * 31 + life),
                        agenda.now(),
                        model),
                proxy,
                () -> roster.anew(proxy),
                (member, then) ->
                        agenda.schedule(
                                CALL,
                                () -> {
                                    ProxyModel other = proxies.get(member);
                                    boolean there =
                                            other != null && other.isRunning() && !other.isFrozen();
                                    then.accept(
                                            there && other.back() != null
                                                    ? other.back().list()
                                                    : ReturnModel.Listed.NONE);
                                }));
        proxy.returnsBy(model, settings.clients().maxRetryAfter());
        return trusted.isNodeTrustUsable() ? disk.learnt() : WarmStartState.EMPTY;
    }

    private void plans(ProxyModel proxy, ZoneSettings config, long life) {
        MemberId me = new MemberId(proxy.name());
        SimulatedDisk disk =
                registers.computeIfAbsent(
                        proxy.name(),
                        name ->
                                new SimulatedDisk(
                                        RandomGeneratorFactory.of("L64X128MixRandom")
                                                .create(seed * 13 + name.hashCode())));
        AcceptorStateFile register = new AcceptorStateFile(disk, "register");
        ZonesModel model =
                new ZonesModel(
                        agenda,
                        proxy,
                        config,
                        settings,
                        scenario.zones(),
                        register,
                        plan ->
                                scenario.zones()
                                        .forEach(
                                                zone ->
                                                        homeParts.tell(
                                                                zone,
                                                                plan.epoch(),
                                                                plan.routeOf(new Zone(zone))
                                                                        .shareOf(new Zone(zone)))));
        try {
            model.by(
                    new ZonePlanCoordinator(
                            me,
                            config,
                            new ZoneHealth.NodeRates(
                                    config.nodeRequestsPerSecond(),
                                    settings.slowStart().initialShare(),
                                    settings.slowStart().duration(),
                                    config.regions()),
                            RandomGeneratorFactory.of("L64X128MixRandom").create(seed * 37 + life),
                            0,
                            register.read(),
                            model),
                    (to, topic, bytes, then) -> say(proxy.name(), to.name(), topic, bytes, then));
        } catch (IOException e) {
            throw new IllegalStateException("a register on a disk that does not fail", e);
        }
        proxy.placedBy(model);
    }

    /** Over a stream: refused at once where no process is, silence where none gets through. */
    private void say(String from, String to, String topic, byte[] bytes, Consumer<byte[]> then) {
        ProxyModel other = proxies.get(to);
        boolean there = other != null && other.isRunning();
        if (!there || other.isFrozen() || isCut(from, to)) {
            agenda.schedule(there ? CALL_TIME_OUT : CALL, () -> then.accept(null));
            return;
        }
        boolean[] over = {false};
        agenda.schedule(CALL_TIME_OUT, () -> over(over, then, null));
        agenda.schedule(
                way(),
                () -> {
                    if (other.isRunning() && !other.isFrozen() && other.zones() != null) {
                        other.zones()
                                .asked(
                                        topic,
                                        bytes,
                                        answer ->
                                                agenda.schedule(
                                                        way(), () -> over(over, then, answer)));
                    }
                });
    }

    private static void over(boolean[] over, Consumer<byte[]> then, byte[] answer) {
        if (!over[0]) {
            over[0] = true;
            then.accept(answer);
        }
    }

    /** Whether no stream gets from one to the other. */
    private boolean isCut(String one, String other) {
        return net.isCut(members.get(one), members.get(other))
                || net.isCut(members.get(other), members.get(one));
    }

    void cutOneWay(String from, String to) {
        net.cutOneWay(members.get(from), members.get(to));
    }

    /** A stream is opened first: two ways there, or less where it stands open. */
    private long way() {
        return 4 + ways.nextInt(36);
    }

    /**
     * The fewest members that one that runs holds alive, itself counted; 0 where there are none.
     */
    int leastHeld() {
        return held().min().orElse(0);
    }

    int mostHeld() {
        return held().max().orElse(0);
    }

    private IntStream held() {
        return members.values().stream()
                .filter(member -> member.running && !member.frozen)
                .mapToInt(member -> member.machine.liveCount());
    }

    /** Of a zone's home part over all plans so far. */
    int reversals() {
        return homeParts.reversals();
    }

    /** What was so at its last snapshot is on its disk, where it has one. */
    private void snapshot(String name) {
        ProxyModel proxy = proxies.get(name);
        if (proxy == null
                || proxy.back() == null
                || proxy.back().phase() != RecoveryPhase.SERVE_ALL) {
            return;
        }
        long every = recovery.get().store().snapshotIntervalMillis();
        long at = agenda.now() / EventQueue.MILLI / every * every;
        List<PersistedState.Peer> peers =
                DurableState.persistedPeers(members.get(name).machine.view());
        ReturnModel.Listed list = proxy.back().held();
        disks.put(
                name,
                new OnDisk(
                        new PersistedState(
                                CLUSTER,
                                new PersistedState.LoggedState(0, lives.get(name), 0, List.of()),
                                new PersistedState.Content(
                                        "boot",
                                        at,
                                        new PersistedState.EndpointList(list.version(), ""),
                                        peers,
                                        new byte[0],
                                        PersistedState.NodeTrust.NONE)),
                        list,
                        proxy.policy().learnt()));
    }

    void ends(String name, boolean meant) {
        snapshot(name);
        SimulatedNet.Node member = members.get(name);
        if (member != null && meant) {
            net.leave(member);
        } else if (member != null) {
            net.crash(member);
        }
    }

    void freezes(String name, boolean on) {
        undisturbed.put(name, agenda.now());
        SimulatedNet.Node member = members.get(name);
        if (member != null && on) {
            net.freeze(member);
        } else if (member != null) {
            net.thaw(member);
        }
    }

    void heals() {
        net.loss = 0;
        net.heal();
        undisturbed.replaceAll((name, at) -> agenda.now());
    }

    /** The carrier's rounds: what each tells and sees. */
    private void tick() {
        agenda.schedule(TICK, this::tick);
        for (Map.Entry<String, SimulatedNet.Node> each : members.entrySet()) {
            ProxyModel proxy = proxies.get(each.getKey());
            SimulatedNet.Node member = each.getValue();
            if (!proxy.isRunning() || proxy.isFrozen() || !member.running) {
                continue;
            }
            ReturnModel back = proxy.back();
            boolean returns = back != null && back.phase() != RecoveryPhase.SERVE_ALL;
            RecoveryProgress told =
                    returns
                            ? new RecoveryProgress(back.phase().announced(), back.pace(), 0)
                            : RecoveryProgress.NONE;
            ZonesModel plans = proxy.zones();
            boolean starts = agenda.now() - began.get(each.getKey()) < EmulatedFleet.STARTS;
            net.tell(
                    member,
                    new MembershipEvent.MetadataChanged(
                            MemberMetadata.builder()
                                    .location(proxy.zone(), region(proxy.zone()))
                                    .protocolVersion(2)
                                    .lifecycle(
                                            starts
                                                    ? MemberMetadata.Lifecycle.STARTING
                                                    : MemberMetadata.Lifecycle.SERVING)
                                    .planEpoch(plans == null ? 0 : plans.plan().epoch())
                                    .recovery(told)
                                    .metrics(metrics(plans, back))
                                    .build()));
            MembershipView view = plans != null || returns ? member.machine.view() : null;
            if (plans != null) {
                plans.viewed(view);
                plans.tally().nodesToProbe(agenda.now()).forEach(proxy::checkHealth);
            }
            if (returns) {
                back.seen(FleetSnapshot.of(view));
            }
            if (back != null) {
                back.turn();
            }
        }
    }

    private String region(String zone) {
        return zones.map(config -> config.regions().getOrDefault(zone, "r")).orElse("r");
    }

    private MemberMetrics metrics(ZonesModel plans, ReturnModel back) {
        long version = back == null ? 0 : back.version();
        long rate = plans == null ? 0 : plans.tally().requestsPerSecond(agenda.now());
        return new MemberMetrics(
                new MemberMetrics.Load(0, 0, rate),
                new MemberMetrics.EndpointListStatus(version, true),
                plans == null ? MemberMetrics.Reachability.ALL : plans.tally().reachability());
    }
}

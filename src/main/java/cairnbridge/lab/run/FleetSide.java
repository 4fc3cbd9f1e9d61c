package cairnbridge.lab.run;

import cairnbridge.config.FleetConfig;
import cairnbridge.decision.Learnt;
import cairnbridge.decision.Settings;
import cairnbridge.drill.scenario.Scenario;
import cairnbridge.drill.simulated.Agenda;
import cairnbridge.drill.simulated.SimulatedNet;
import cairnbridge.fleet.member.Claim;
import cairnbridge.fleet.member.Recovering;
import cairnbridge.fleet.member.Standing;
import cairnbridge.fleet.member.Told;
import cairnbridge.fleet.view.FleetEvent;
import cairnbridge.fleet.view.FleetSettings;
import cairnbridge.lab.model.ProxyModel;
import cairnbridge.lab.model.ReturnModel;
import cairnbridge.lab.model.RosterModel;
import cairnbridge.recovery.Phase;
import cairnbridge.recovery.Recovery;
import cairnbridge.recovery.RecoverySettings;
import cairnbridge.recovery.Sight;
import cairnbridge.recovery.StateKeeper;
import cairnbridge.recovery.Trust;
import cairnbridge.recovery.Trusted;
import cairnbridge.store.Kept;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGeneratorFactory;

/**
 * What proxies of a fleet have beside their policy: the view, by the program's own Membership on a simulated
 * net, and the return after a loss of power, by its own Recovery, with a disk that keeps what was so at the
 * last snapshot. Nothing of it where a scenario's proxies are alone.
 */
final class FleetSide {
    private static final String CLUSTER = "lab";
    private static final long TICK = Agenda.SECOND / 4, CALL = 10 * Agenda.MILLI,
            UNDISTURBED = 8 * Agenda.SECOND;

    /** What a proxy's disk holds, and its list beside it. */
    private record OnDisk(Kept kept, ReturnModel.Listed list, Learnt learnt) {
    }

    private final Scenario scenario;
    private final Settings settings;
    private final Agenda agenda;
    private final RosterModel roster;
    private final long seed;
    private final Optional<RecoverySettings> recovery;
    private final SimulatedNet net;
    private final Map<String, SimulatedNet.Node> members = new LinkedHashMap<>();
    private final Map<String, ProxyModel> proxies = new LinkedHashMap<>();
    private final Map<String, Long> lives = new HashMap<>(), undisturbed = new HashMap<>();
    private final Map<String, OnDisk> disks = new HashMap<>();
    private long falseDeaths;

    FleetSide(Scenario scenario, Settings settings, Agenda agenda, RosterModel roster, long seed) {
        this.scenario = scenario;
        this.settings = settings;
        this.agenda = agenda;
        this.roster = roster;
        this.seed = seed;
        StringBuilder text = new StringBuilder("[recovery]\n");
        scenario.keys().forEach((key, value) -> {
            if (key.startsWith("recovery.")) {
                text.append(key.substring("recovery.".length())).append(" = ").append(value).append('\n');
            }
        });
        boolean kept = scenario.together() && scenario.keys().containsKey("recovery.folder");
        recovery = kept ? FleetConfig.recoveryOf(text.toString(), CLUSTER) : Optional.empty();
        net = new SimulatedNet(FleetSettings.USUAL, seed, agenda);
        net.watcher = (holder, before, after, why) -> {
            if (after.standing() == Standing.DEAD) {
                died(holder, after);
            }
        };
        if (scenario.together()) {
            agenda.in(TICK, this::tick);
        }
    }

    private void died(SimulatedNet.Node holder, Claim after) {
        SimulatedNet.Node subject = members.get(after.id().name());
        boolean wrong = subject != null && subject.running && !subject.frozen && subject.side == holder.side
                && agenda.now() - Math.max(undisturbed.get(after.id().name()),
                        undisturbed.get(holder.id.name()))
                > UNDISTURBED;
        falseDeaths += wrong ? 1 : 0;
    }

    /** What is on a proxy's disk was written by a machine whose clock is off by so much. */
    void shifts(String name, long millis) {
        disks.computeIfPresent(name, (same, disk) -> new OnDisk(disk.kept().shifted(millis), disk.list(),
                disk.learnt()));
    }

    /** The newest snapshot cannot be read: the one before counts. */
    void tears(String name) {
        recovery.ifPresent(kept -> shifts(name, -kept.store().snapshotEvery()));
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
    Learnt starts(ProxyModel proxy) {
        proxies.put(proxy.name(), proxy);
        undisturbed.put(proxy.name(), agenda.now());
        if (!scenario.together()) {
            return Learnt.NOTHING;
        }
        OnDisk disk = disks.getOrDefault(proxy.name(), new OnDisk(Kept.nothing(CLUSTER),
                ReturnModel.Listed.NONE, Learnt.NOTHING));
        long unixMillis = agenda.now() / Agenda.MILLI;
        long life = Math.max(unixMillis, lives.getOrDefault(proxy.name(), 0L) + 1);
        lives.put(proxy.name(), life);
        SimulatedNet.Node[] seeds = scenario.seeds().stream().filter(members::containsKey).map(members::get)
                .toArray(SimulatedNet.Node[]::new);
        if (members.containsKey(proxy.name())) {
            net.start(members.get(proxy.name()), life, seeds);
        } else {
            members.put(proxy.name(), net.add(proxy.name(), life, seeds));
        }
        if (recovery.isEmpty()) {
            return Learnt.NOTHING;
        }
        Trusted trusted = Trust.judge(disk.kept(), CLUSTER, "boot", unixMillis,
                recovery.get().mostAge() / 10);
        ReturnModel model = new ReturnModel(agenda, settings.originKind(), trusted.rosterVersion() > 0
                ? disk.list() : ReturnModel.Listed.NONE);
        model.by(new Recovery(recovery.get(), trusted, settings.categories(), settings.proxies(),
                settings.originKind(),
                settings.mayProbe(), proxy.name(), proxy.zone(),
                RandomGeneratorFactory.of("L64X128MixRandom").create(seed * 31 + life), agenda.now(), model),
                        proxy,
                () -> roster.anew(proxy), (member, then) -> agenda.in(CALL, () -> {
                    ProxyModel other = proxies.get(member);
                    boolean there = other != null && other.isRunning() && !other.isFrozen();
                    then.accept(there && other.back() != null ? other.back().list()
                            : ReturnModel.Listed.NONE);
                }));
        proxy.returnsBy(model, settings.maxRetryAfter());
        return trusted.trust() ? disk.learnt() : Learnt.NOTHING;
    }

    /** What was so at its last snapshot is on its disk, where it has one. */
    private void snapshot(String name) {
        ProxyModel proxy = proxies.get(name);
        if (proxy == null || proxy.back() == null || proxy.back().phase() != Phase.ALL) {
            return;
        }
        long every = recovery.get().store().snapshotEvery();
        long at = agenda.now() / Agenda.MILLI / every * every;
        List<Kept.Peer> peers = StateKeeper.peers(members.get(name).machine.view());
        ReturnModel.Listed list = proxy.back().held();
        disks.put(name, new OnDisk(new Kept(CLUSTER, lives.get(name), "boot", at, 0, list.version(), "",
                peers, 0,
                null, 0, 0, 0, List.of(), List.of()), list, proxy.policy().learnt()));
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
        agenda.in(TICK, this::tick);
        for (Map.Entry<String, SimulatedNet.Node> each : members.entrySet()) {
            ProxyModel proxy = proxies.get(each.getKey());
            SimulatedNet.Node member = each.getValue();
            if (!proxy.isRunning() || proxy.isFrozen() || !member.running) {
                continue;
            }
            ReturnModel back = proxy.back();
            boolean returns = back != null && back.phase() != Phase.ALL;
            Recovering told = returns ? new Recovering(back.phase().told(), back.pace(), 0)
                    : Recovering.NOT;
            long version = back == null ? 0 : back.version();
            net.tell(member, new FleetEvent.Tell(Told.of(proxy.zone(), "r", 2, Told.State.SERVING, "", "", 0,
                    told,
                    new Told.Figures(0, 0, version, true, List.of()))));
            if (returns) {
                back.seen(Sight.of(member.machine.view()));
            }
            if (back != null) {
                back.turn();
            }
        }
    }
}

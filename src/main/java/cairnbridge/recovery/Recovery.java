package cairnbridge.recovery;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.Ending;
import cairnbridge.decision.Event.Scope;
import cairnbridge.decision.Ids.KeyId;
import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.OpId;
import cairnbridge.decision.Settings.Category;
import cairnbridge.decision.Settings.Effect;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * One proxy's return after a loss of power: in which order it serves again, what it turns away
 * meanwhile, and at which pace it lets reads through to an origin that has just come up. Make one
 * with what is trusted of the kept state; tell it what is seen, listed, probed and how ops end, ask
 * it about each new op, and call turn now and then. One thread's; it reads no clock: same calls,
 * same answers. Times in tenths of a millisecond.
 *
 * <p>A proxy that meets a fleet which never lost power goes to the end as soon as its list is
 * confirmed. docs/design/recovery.md says why the order is as it is.
 */
public final class Recovery {
    private static final long SECOND = 10_000, MILLI = 10;

    /** Discovery has so long before a kept list is used. */
    private static final long GUESS_AFTER = SECOND, ASK_EVERY = SECOND / 2;

    /** Writes go alone for so long at least. */
    private static final long WRITES_ALONE = SECOND / 4;

    /** Nothing is held back for so long, while so many ops came: the return is over. */
    private static final long CALM = 2 * SECOND;

    private static final int ENOUGH = 50;
    private static final long SOONEST = 20 * MILLI,
            USUAL_SPAN = 20 * MILLI,
            EARLY = SECOND / 2,
            LONGEST = 2 * SECOND;

    /** The least dear class may take up so great a part of the pace. */
    private static final double CHEAPEST = 0.5;

    /** An op that was taken while the return lasted. */
    private static final class Taken {
        final KeyId key;
        boolean fetched;

        Taken(KeyId key) {
            this.key = key;
        }
    }

    private final RecoverySettings settings;
    private final RecoveryHost host;
    private final RandomGenerator chance;
    private final List<Category> categories;
    private final double[] parts;
    private final boolean[] dearest;
    private final int expected;
    private final boolean mayProbe;
    private final String me, zone;
    private final RosterTrust roster;
    private final HiddenFates fates;
    private final ListedNodes nodes;
    private final OriginPace pace;
    private final KeyOpening keys;
    private final Map<OpId, Taken> taken = new HashMap<>();
    private final long began;
    private Phase phase = Phase.VIEW;
    private Sight sight;
    private boolean guessUsed, whole, origin;
    private long phaseAt, askedAt = Long.MIN_VALUE / 2, probedAt = Long.MIN_VALUE / 2, heldBackAt;
    private long hiddenCount, turnedAway;
    private int comeSince;
    private double refusing;
    private long refusingAt;

    /**
     * instances: the configured number of proxies, which counts where fewer are remembered; me,
     * zone: this member and where it is; originKind: which of the listed nodes is the origin;
     * mayProbe: whether nodes may be asked how they fare.
     */
    public Recovery(
            RecoverySettings settings,
            Trusted trusted,
            List<Category> categories,
            int instances,
            MachineKind originKind,
            boolean mayProbe,
            String me,
            String zone,
            RandomGenerator chance,
            long now,
            RecoveryHost host) {
        this.settings = settings;
        this.host = host;
        this.chance = chance;
        this.categories = categories;
        this.mayProbe = mayProbe;
        nodes = new ListedNodes(originKind);
        this.me = me;
        this.zone = zone;
        expected = Math.max(trusted.peers() + 1, instances);
        roster = new RosterTrust(trusted.rosterVersion(), expected, settings.aloneAfter());
        fates = new HiddenFates(now);
        pace =
                new OriginPace(
                        settings.originStart() / Math.max(1, expected),
                        categories.stream().mapToLong(Category::target).min().orElse(0) / 2);
        keys = new KeyOpening(me);
        began = now;
        phaseAt = now;
        heldBackAt = now;
        parts = new double[categories.size()];
        dearest = new boolean[parts.length];
        rank();
    }

    private void rank() {
        List<Double> benefits =
                categories.stream().map(Category::benefit).distinct().sorted().toList();
        for (int i = 0; i < parts.length; i++) {
            int at = benefits.indexOf(categories.get(i).benefit());
            parts[i] =
                    benefits.size() == 1
                            ? 1
                            : CHEAPEST + (1 - CHEAPEST) * at / (benefits.size() - 1);
            dearest[i] = benefits.size() > 1 && at == benefits.size() - 1;
        }
    }

    // What is seen.

    /** What the view of the fleet tells. */
    public void viewed(Sight seen, long now) {
        sight = seen;
        roster.seen(seen);
        List<String> near = new ArrayList<>(List.of(me));
        seen.others().stream()
                .filter(each -> each.serves() && each.zone().equals(zone))
                .forEach(each -> near.add(each.id()));
        keys.zone(near);
        pace.others(
                seen.others().stream().filter(Sight.Seen::returns).map(Sight.Seen::pace).toList(),
                phase == Phase.READS ? now - phaseAt : 0);
        turn(now);
    }

    /** A list is in use: discovery's, or where its scope is CACHED another's. */
    public void listed(Event.Roster list, long now) {
        nodes.tells(list);
        if (list.scope() == Scope.CACHED) {
            guessed(list.version(), nodes.newest(), now);
        } else if (list.scope() != Scope.FAILED) {
            listed(list.version(), nodes.newest(), now);
        }
    }

    /** Discovery tells a list that is older than the floor; it is not in use. */
    public void older(long version, long now) {
        listed(version, nodes.newest(), now);
    }

    /**
     * A list that did not come from discovery is in use; newest: when the last of its nodes began.
     */
    void guessed(long version, long newest, long now) {
        roster.guessed(version);
        fates.nodes(newest);
        if (sight != null) {
            roster.seen(sight);
        }
        turn(now);
    }

    /** Discovery has told its list. */
    void listed(long version, long newest, long now) {
        if (roster.listed(version, now)) {
            fates.nodes(newest);
        }
        turn(now);
    }

    /**
     * A version below this one, as discovery tells it, is older than what was known before the
     * loss.
     */
    public long rosterFloor() {
        return roster.floor();
    }

    /** A node was asked how it fares. */
    public void probed(NodeId node, Ending ending, long now) {
        if (nodes.isOrigin(node)) {
            // An error is an answer as well: the origin is there.
            probed(ending == Ending.ACKED || ending == Ending.ERROR, now);
        }
    }

    /** The origin was asked how it fares. */
    void probed(boolean good, long now) {
        origin |= good;
        turn(now);
    }

    // The order.

    /** Goes on where what was waited for is there. */
    public void turn(long now) {
        if (roster.takesOlder(now)) {
            host.log(
                    "recovery: discovery's list is older than the one before the loss and is taken"
                            + " now");
            host.takeOlderList();
        }
        Phase before;
        do {
            before = phase;
            step(now);
        } while (phase != before);
        if (phase != Phase.ALL && now - began >= settings.openAfter() && roster.hasList()) {
            goes(Phase.ALL, "it took " + (now - began) / SECOND + " s", now);
        }
    }

    private void step(long now) {
        switch (phase) {
            case VIEW -> {
                boolean all = sight != null && (sight.others().size() + 1) * 2 > expected;
                if (all || sight != null && wholeFleet()) {
                    goes(
                            Phase.ROSTER,
                            all
                                    ? "a majority of " + expected + " is in view"
                                    : "members that kept their power are in view",
                            now);
                } else if (now - began >= settings.aloneAfter()) {
                    goes(Phase.ROSTER, "no majority came", now);
                }
            }
            case ROSTER -> roster(now);
            case ORIGIN -> {
                if (!mayProbe || origin || now - phaseAt >= settings.aloneAfter()) {
                    goes(
                            Phase.WRITES,
                            mayProbe
                                    ? origin ? "the origin answers" : "the origin has not answered"
                                    : "the origin may not be asked",
                            now);
                } else if (now - probedAt >= ASK_EVERY) {
                    probedAt = now;
                    host.probeOrigin();
                }
            }
            case WRITES -> {
                if (now - phaseAt >= WRITES_ALONE) {
                    goes(Phase.READS, "writes had their start", now);
                }
            }
            case READS -> {
                if (comeSince >= ENOUGH && now - heldBackAt >= CALM && now - phaseAt >= CALM) {
                    goes(Phase.ALL, "nothing was held back for 2 s", now);
                }
            }
            default -> {}
        }
    }

    /** At least half of the fleet kept its power, as far as can be seen. */
    private boolean wholeFleet() {
        return 2 * sight.others().stream().filter(Sight.Seen::isWhole).count() >= expected;
    }

    private void roster(long now) {
        if (!roster.isConfirmed() && sight != null && now - askedAt >= ASK_EVERY) {
            Optional<String> member = roster.ask(sight);
            if (member.isPresent()) {
                askedAt = now;
                host.askRoster(member.get());
            }
        }
        if (!guessUsed && !roster.hasList() && now - began >= GUESS_AFTER) {
            guessUsed = true;
            host.useGuess();
        }
        if (roster.isConfirmed() && sight != null && wholeFleet()) {
            whole = true;
            goes(Phase.ALL, "the fleet kept its power", now);
        } else if (roster.isConfirmed()
                || roster.hasList() && now - phaseAt >= settings.aloneAfter()) {
            goes(Phase.ORIGIN, "list " + roster.text(), now);
        }
    }

    private void goes(Phase to, String why, long now) {
        host.log(
                "recovery: "
                        + to.name().toLowerCase(java.util.Locale.ROOT)
                        + " after "
                        + (now - began) / MILLI
                        + " ms, "
                        + why);
        phase = to;
        phaseAt = now;
        heldBackAt = now;
        comeSince = 0;
    }

    // What becomes of ops.

    /** Asked once about each new op, before anything else is. */
    public Verdict arrives(Arrival op, long now) {
        Category category = categories.get(op.category().value());
        if (!whole && fates.hides(category, op.repeat(), op.expires())) {
            hiddenCount++;
            return new Verdict(Verdict.Kind.DEAD_LETTERED, Verdict.Why.HIDDEN, 0);
        }
        boolean once = category.effect() != Effect.REDELIVERABLE;
        if (once && !roster.isConfirmed()) {
            return turnsAway(Verdict.Why.LIST, EARLY, now);
        }
        if (phase == Phase.ALL) {
            return Verdict.TAKEN;
        }
        comeSince++;
        boolean first = op.write() || once || dearest[op.category().value()];
        if (phase.compareTo(Phase.WRITES) < 0 || phase == Phase.WRITES && !first) {
            return turnsAway(Verdict.Why.PHASE, EARLY, now);
        }
        return paced(op, now);
    }

    private Verdict paced(Arrival op, long now) {
        boolean read = !op.write() && op.key() != null;
        if (read && keys.isOpen(op.key())) {
            return Verdict.TAKEN;
        }
        long span = 2 * Math.max(SOONEST, pace.span() == 0 ? USUAL_SPAN : pace.span());
        if (read && (keys.isFetched(op.key()) || keys.waits(op.key(), span, now))) {
            return turnsAway(Verdict.Why.JOINED, span, now);
        }
        if (taken.size() >= Math.max(1, pace.limit() * parts[op.category().value()])) {
            // The more come that cannot be let through, the later each is to come back.
            double crowd = 1 + refusing / Math.max(1, pace.limit());
            return turnsAway(Verdict.Why.PACE, (long) (span * crowd), now);
        }
        taken.put(op.op(), new Taken(read ? op.key() : null));
        if (read) {
            keys.begins(op.key());
        }
        return Verdict.TAKEN;
    }

    /**
     * Guards against clients that all come back as one wave: each is told another time, from half
     * to one and a half.
     */
    private Verdict turnsAway(Verdict.Why why, long wait, long now) {
        turnedAway++;
        if (why == Verdict.Why.PACE) {
            heldBackAt = now;
            refusing = refusing * Math.pow(0.5, (double) (now - refusingAt) / SECOND) + 1;
            refusingAt = now;
        }
        long least = Math.min(LONGEST, Math.max(SOONEST, wait));
        return Verdict.nack(why, least / 2 + chance.nextLong(least));
    }

    /** A push of the op's has ended: where, how, and after how long. */
    public void pushEnded(OpId op, NodeId node, Ending ending, long took, long now) {
        boolean says = ending != Ending.CALLED_OFF && ending != Ending.NEVER_SENT;
        pushEnded(op, says && nodes.isOrigin(node), ending == Ending.ACKED, took, now);
    }

    /** As above, where it is known whether the end says anything of the origin. */
    void pushEnded(OpId op, boolean atOrigin, boolean good, long took, long now) {
        if (phase == Phase.ALL) {
            return;
        }
        if (atOrigin) {
            origin |= good;
            pace.ended(good, took, now);
        }
        Taken mine = taken.get(op);
        if (mine != null && good) {
            mine.fetched = true;
        }
    }

    /** The op has its answer. */
    public void answered(OpId op) {
        Taken mine = taken.remove(op);
        if (mine != null && mine.key != null) {
            keys.ends(mine.key, mine.fetched);
        }
    }

    // What is told.

    /** The node that is the origin; null while no list names it. */
    public NodeId origin() {
        return nodes.origin();
    }

    public Phase phase() {
        return phase;
    }

    /** What others are told: the pace that this proxy found by itself. */
    public int pace() {
        return pace.own();
    }

    public boolean isConfirmed() {
        return roster.isConfirmed();
    }

    /** Ops whose first try the loss may hide and that were not pushed again. */
    public long hidden() {
        return hiddenCount;
    }

    public long turnedAway() {
        return turnedAway;
    }

    /** For staff: where it is and what it waits for. */
    public List<String> text(long now) {
        List<String> lines = new ArrayList<>();
        lines.add(
                "phase "
                        + phase.name().toLowerCase(java.util.Locale.ROOT)
                        + " for "
                        + (now - phaseAt) / SECOND
                        + " s, waits for "
                        + phase.waitsFor());
        lines.add("list " + roster.text());
        lines.add("members " + (sight == null ? 1 : sight.others().size() + 1) + " of " + expected);
        lines.add("pace " + pace.limit() + " ops on their way to the origin, own " + pace.own());
        lines.add(
                "turned away "
                        + turnedAway
                        + ", not pushed again for a hidden fate "
                        + hiddenCount);
        return lines;
    }
}

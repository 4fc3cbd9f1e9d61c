package cairnbridge.decision;

import cairnbridge.decision.Event.*;
import cairnbridge.decision.Ids.*;
import cairnbridge.decision.RouterMessage.What;
import cairnbridge.decision.Request.*;
import cairnbridge.decision.Settings.*;
import java.util.*;
import java.util.random.*;

/**
 * The decision module of one proxy. Make one with its settings, seed, clock and Host, then call handle for
 * every event in order; it answers by calls on the Host before handle returns. The interface is beside this
 * file: Settings, Event, Host and Ids. Nothing here reads a clock, a thread or another instance.
 *
 * <p>Ordinary path: the desk asks the ring to place an op; an Offer walks the ring clockwise from the key's
 * point and the first node under its cap takes it; the gate pushes it. All times are tenths of a millisecond.
 * Parts read one another's figures, but change them only by notes.
 */
public final class Router {
    private static final long SECOND = 10_000, BEAT = SECOND / 10;
    /** The longest retry-after that the settings allow; the gate cuts it to that. */
    private static final long LONGEST = Long.MAX_VALUE;
    private static final int POINTS = 256, CAP_FLOOR = 2, MOST_DOUBLINGS = 6, ENOUGH = 3;
    private static final double EPSILON = 0.6;
    private static final double HOT = 0.5, LEAST_SHARE = 0.05, AVOIDED = 0.1, MOST_ENDS = 12;
    private static final double RETRY_SHARE = 0.1, RETRY_BURST = 10;

    private final Host host;
    private final RandomGenerator chance;
    private final MessageLoop loop;
    private final Map<NodeId, ServerNode> nodes = new TreeMap<>(Comparator.comparingLong(NodeId::value));
    /** Taken out by hand, and since when; kept apart from the list, which knows nothing of it. */
    private final Map<NodeId, Long> held = new HashMap<>();
    private final HashRing ring;
    private final OriginLimiter origin;
    private final AdmissionControl admission;
    private final RequestTable desk;
    private final Dispatcher gate;
    private final LoadReports reports;
    private final WarmStartState before;
    private final Settings settings;
    /** Among how many what is shared out is divided: as configured, or as a view of the fleet tells. */
    private double proxies;
    private Placement placement = Placement.ANYWHERE;
    private long now;

    /** before is what one whose place it takes had learnt and what still holds; the rest starts afresh. */
    public Router(Settings settings, long seed, long clock, Host host, WarmStartState before) {
        this.before = before;
        this.host = host;
        this.loop = new MessageLoop(host);
        this.now = clock;
        this.settings = settings;
        this.proxies = Math.max(1, settings.proxies());
        this.chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        this.reports = new LoadReports(settings.reportColumns());
        this.ring = new HashRing();
        this.gate = new Dispatcher(settings);
        this.origin = new OriginLimiter(settings);
        this.admission = new AdmissionControl(settings);
        this.desk = new RequestTable(settings);
        loop.wake(desk, BEAT, new RouterMessage(What.BEAT, 0));
        if (settings.mustSubscribe()) {
            host.subscribeToEndpoints(true);
        }
    }

    /** What the next router may start with; bounds, heat, paces and reports hang on the shape and stay. */
    public WarmStartState warmStartState() {
        Map<NodeId, WarmStartState.Trust> trust = new HashMap<>();
        nodes.forEach((id, node) -> trust.put(id, new WarmStartState.Trust(node.started, node.share)));
        return new WarmStartState(now, origin.typical, gate.rate() * SECOND / gate.fallSpan, trust);
    }

    /** How much of what was learnt still counts: half after some seconds, and it fades on. */
    private double fading() {
        return before.recordedAt() > now ? 0 : Math.pow(0.5, (double) (now - before.recordedAt()) / (15 * SECOND));
    }

    /** The one loop: an event becomes notes, and notes are handed out until every inbox is empty. */
    public void handle(long clock, Event event) {
        now = Math.max(now, clock);
        if (event instanceof Event.TimerFired fired) {
            loop.fired(fired.timer());
        } else if (event instanceof Event.EndpointListReceived || event instanceof Event.MaintenanceChanged) {
            loop.post(ring, new RouterMessage(event instanceof Event.MaintenanceChanged ? What.HELD : What.LISTED, event));
        } else if (event instanceof Event.LiveProxyCountChanged living) {
            proxies = Math.max(1, living.count());
        } else if (event instanceof Event.PlacementChanged placed) {
            placement = placed.placement();
        } else if (event instanceof Event.NodeSuspected doubted && nodes.get(doubted.node()) != null) {
            loop.post(nodes.get(doubted.node()), new RouterMessage(What.DOUBTED, event));
        } else {
            loop.post(desk, new RouterMessage(What.EVENT, event));
        }
        loop.empty();
    }

    /** The part that a new sample has in an average of so many: more, where the one before is old. */
    private static double freshness(long gap, double samples) {
        return Math.min(0.5, Math.max(1 / samples, (double) gap / SECOND));
    }

    /** An adaptive limit of ops in flight: rises while used, falls while many ends are late. */
    private final class ConcurrencyLimit {
        private static final double LATE_SHARE = 0.25;
        private double level = 16, late;
        private long cutAt, endedAt;
        private int run;

        double least() {
            return Math.min(2, 6 / proxies);
        }

        /** One late end proves nothing where work is uneven, so a smoothed share of them decides. */
        void ended(boolean wasLate, int inFlight) {
            long gap = now - endedAt;
            endedAt = now;
            late += ((wasLate ? 1 : 0) - late) * freshness(gap, 16);
            run = wasLate ? Math.min(run + 1, 2) : 0;
            if (level < 1 && !wasLate) {
                level = Math.min(1, level * 2 + 0.1); // So few ends come here that each in time must tell.
            } else if (late < LATE_SHARE && !wasLate && inFlight + 2 > level) {
                level += Math.min(1 / level, 0.1 + level / 2);
            } else if (late >= LATE_SHARE && wasLate && now - cutAt >= BEAT) {
                // Guards against many proxies that each see a fetch now and then: each must cut further.
                double beats = Math.max(1, Math.min(least() < 1 ? 24 : 6, gap / BEAT));
                cutAt = now;
                level = Math.max(least(), Math.min(level, inFlight + 1) * Math.pow(0.9, beats));
            }
        }

        /** Under one at a time the level is a chance; it rises by itself, as few ends would show it. */
        boolean lets(double worth) {
            return level >= 1 || chance.nextDouble() < Math.pow(level, 1 / worth);
        }

        /** Guards against a store that answers nobody: late ends in a row slow the rise. */
        void beat() {
            level += level < 1 ? level * 0.08 / (1 << run) : 0;
        }
    }

    /** One walk clockwise over the distinct nodes, carrying the cap and the least loaded node seen. */
    private static final class RingWalk extends RouterMessage {
        final double average;
        final boolean hot;
        private final ZoneId zone;
        private final HashRing ring;
        private final BitSet seen;
        private int at, left, unseen;
        private final ArrayDeque<ServerNode> early = new ArrayDeque<>();
        ServerNode least;
        double leastLoad = Double.MAX_VALUE;

        RingWalk(Request op, HashRing ring, ServerNode first, double average, boolean hot, ZoneId zone) {
            super(What.OFFER, op);
            this.zone = zone;
            this.ring = ring;
            this.average = average;
            this.hot = hot;
            seen = new BitSet(ring.owners.size());
            left = zone == Placement.NOWHERE ? 0 : ring.points.size();
            unseen = ring.caches;
            at = ring.points.indexOf(op.point);
            if (first != null && first.slot >= 0 && first.serves()) {
                see(first);
                early.add(first);
            }
        }

        /** Starts at one of some neighbours, as chance has it; the others are asked next. */
        ServerNode start(ServerNode home, int spread, RandomGenerator chance) {
            List<ServerNode> some = new ArrayList<>();
            for (ServerNode node = home; node != null; node = some.size() < spread ? next() : null) {
                some.add(node);
            }
            ServerNode begin = some.remove(chance.nextInt(some.size()));
            early.addAll(some);
            return begin;
        }

        ServerNode next() {
            if (!early.isEmpty()) {
                return early.poll();
            }
            for (; left > 0 && unseen > 0; left--) {
                int here = at;
                at = at + 1 == ring.points.size() ? 0 : at + 1;
                ServerNode node = ring.owners.get(ring.points.slot(here));
                // A cold node's keys come back as it warms: points above its openness belong to the next.
                if (!seen.get(node.slot) && ring.points.rank(here) <= node.openness * node.points
                        && (zone == null || zone.equals(node.entry.zone()))) {
                    see(node);
                    if (!op.triedAt(node)) {
                        left--;
                        return node;
                    }
                }
            }
            return null;
        }

        private void see(ServerNode node) {
            seen.set(node.slot);
            unseen--;
        }
    }

    /** The points of all ready caches, the count in flight over them, and the members list. */
    private final class HashRing extends RouterComponent {
        private final RingPoints points = new RingPoints();
        /** By slot; a slot that fell free is used again. */
        private final List<ServerNode> owners = new ArrayList<>();
        /** The caches that are cold or lately answered late: only they change from beat to beat. */
        private final List<ServerNode> restless = new ArrayList<>();
        private double weights, full, smoothed, usual;
        private int caches, inFlight, failures;
        private long pacedAt, toldAt, askAt;
        private final KeyPopularity heat = new KeyPopularity();
        /** By machine kind, a nominal size's span of work as reports tell it: proxies see a node seldom. */
        private final Map<MachineKind, MovingAverage> kinds = new HashMap<>();

        @Override void take(RouterMessage note) {
            switch (note.what) {
                case PLACE -> place(note.op, note.node);
                case LOAD -> inFlight += note.number;
                case RESTLESS -> restless.add(note.node);
                case TOLD -> told(note.node, (Event.AttemptEnded) note.event);
                case LISTED -> list((Event.EndpointListReceived) note.event);
                case HELD -> hold((Event.MaintenanceChanged) note.event);
                case SUBSCRIBE -> host.subscribeToEndpoints(true);
                default -> beat();
            }
        }

        private void beat() {
            smoothed += (inFlight - smoothed) * 0.2;
            // Work at a beat must not grow with the fleet, as many proxies see few ops.
            boolean due = now - pacedAt >= SECOND / 2;
            if (due && toldAt >= pacedAt) {
                pace();
            }
            pacedAt = due ? now : pacedAt;
            weights = full;
            long avoided = held.keySet().stream().filter(nodes::containsKey).count();
            for (int i = restless.size() - 1; i >= 0; i--) {
                ServerNode node = restless.get(i);
                node.restless = node.slot >= 0 && (node.open() < node.pace || node.share < 1);
                if (node.restless) {
                    avoided += node.share < AVOIDED ? 1 : 0;
                    weights -= node.weight * (node.pace - node.openness);
                    loop.post(node, new RouterMessage(What.BEAT, 0));
                } else {
                    restless.remove(i);
                }
            }
            host.avoidedNodeCountChanged((int) avoided);
            loop.post(admission, new RouterMessage(What.BEAT, 0));
        }

        private void told(ServerNode node, Event.AttemptEnded ended) {
            double span = reports.span(ended.loadReport());
            double work = reports.work(ended.loadReport()) * node.size;
            usual += (span - usual) * freshness(now - toldAt, 16);
            toldAt = now;
            if (work > 0) {
                kinds.computeIfAbsent(node.entry.kind(), k -> new MovingAverage()).add(work);
            }
        }

        /** Guards against sizes that say nothing of speed: slower kinds open a part of their points. */
        private void pace() {
            pacedAt = now;
            full = 0;
            double best = kinds.values().stream().filter(each -> each.seen >= ENOUGH)
                    .mapToDouble(each -> each.value).min().orElse(0);
            for (ServerNode node : nodes.values()) {
                MovingAverage kind = kinds.get(node.entry.kind());
                double pace = kind == null || kind.seen < ENOUGH ? 1 : Math.max(0.25, best / kind.value);
                if (Math.abs(pace - node.pace) > 0.1) {
                    node.pace = pace;
                    node.open();
                }
                full += node.slot >= 0 ? node.weight * node.pace : 0;
            }
        }

        private void place(Request op, ServerNode first) {
            ZoneId zone = placement.zone(op.point, op.plan.category());
            double average = zone != null ? average(zone)
                    : weights <= 0 ? 0 : Math.max(inFlight, smoothed) / weights;
            boolean wide = origin.limit.level >= 1;
            double shares = heat.shares(op.point, caches, op.repeat, proxies > caches, wide);
            RingWalk offer = new RingWalk(op, this, first, average, shares > HOT / 5, zone);
            ServerNode node = offer.next();
            // Guards against a key hotter than a cache, met by many: its ops start at one of some neighbours.
            int spread = Math.min(caches, (int) Math.ceil(shares / HOT));
            if (spread > 1 && first == null && node != null) {
                node = offer.start(node, spread, chance);
            }
            if (node == null) {
                loop.post(desk, new RouterMessage(What.STUCK, op, null, null, null, zone == null ? 0 : LONGEST));
            } else {
                loop.post(node, offer);
            }
        }

        /** Over the caches of one zone, where a plan keeps an op to that. */
        private double average(ZoneId zone) {
            List<ServerNode> some = owners.stream().filter(n -> n != null && n.entry.zone().equals(zone)).toList();
            double weight = some.stream().mapToDouble(n -> n.weight * n.openness).sum();
            return weight <= 0 ? 0 : some.stream().mapToInt(n -> n.inFlight).sum() / weight;
        }

        private void list(Event.EndpointListReceived roster) {
            if (roster.scope() == ListScope.FAILED) {
                // Guards against a list of fixed capacity that all ask at once: waits grow, one at a time.
                if (now >= askAt) {
                    long wait = BEAT + chance.nextLong(SECOND << Math.min(failures++, 2));
                    askAt = now + Math.min(wait, Math.max(BEAT, TimeBudget.maxListRetryWait(settings.askWithin())));
                    loop.wake(this, askAt - now, new RouterMessage(What.SUBSCRIBE, 0));
                }
                return;
            }
            failures = roster.scope() == ListScope.CACHED ? failures : 0;
            // Guards against a list that has lost its contents: what is held stays in use.
            if (roster.scope() != ListScope.CHANGES && !roster.endpoints().isEmpty()) {
                for (ServerNode node : nodes.values()) {
                    node.state = NodeState.GONE;
                }
            }
            for (Endpoint entry : roster.endpoints()) {
                nodes.computeIfAbsent(entry.node(), ServerNode::new).enter(entry);
            }
            build();
        }

        /** Guards against a node restarted meanwhile, of which the list tells late: it comes back as cold. */
        private void hold(Event.MaintenanceChanged event) {
            ServerNode node = nodes.get(event.node());
            Long since = event.inMaintenance() ? held.putIfAbsent(event.node(), now) : held.remove(event.node());
            if (!event.inMaintenance() && since != null && node != null) {
                node.restarted(node.started < since ? now : node.started);
            }
            build();
        }

        /** Brings points, slots and weights in line with the list; nodes that stay keep their points. */
        private void build() {
            BitSet gone = new BitSet();
            double sizes = 0;
            caches = 0;
            int fresh = 0;
            for (ServerNode node : nodes.values()) {
                boolean on = node.serves() && !origin.is(node);
                // Points follow the node's own size, not the fleet's mean, so that others' points stay put.
                long count = Math.min(RingPoints.MOST_RANKS, Math.round(POINTS * node.size));
                long wanted = on ? Math.max(1, count) : 0;
                if (wanted != node.points && node.slot >= 0) {
                    gone.set(node.slot);
                    owners.set(node.slot, null);
                    node.slot = -1;
                }
                node.points = (int) wanted;
                fresh += node.slot < 0 ? node.points : 0;
                sizes += on ? node.size : 0;
                caches += on ? 1 : 0;
            }
            long[] marks = new long[fresh];
            for (ServerNode node : nodes.values()) {
                node.weight = sizes > 0 ? node.size * caches / sizes : 1;
                if (node.points > 0 && node.slot < 0) {
                    if (!owners.contains(null)) {
                        owners.add(null);
                    }
                    node.slot = owners.indexOf(null);
                    owners.set(node.slot, node);
                    for (int i = 0; i < node.points; i++) {
                        marks[--fresh] = RingPoints.mark(Request.mix(Request.mix(node.id.value()) + i), node.slot, i);
                    }
                    node.stir();
                }
            }
            points.change(gone, marks);
            // Guards against memory that grows with every node that ever was, as nodes come and go all day.
            nodes.values().removeIf(node -> node.state == NodeState.GONE && node.inFlight == 0);
            loop.post(origin, new RouterMessage(What.MEMBERS, 0));
            pace();
            beat();
        }
    }

    /** One server: its count in flight, its health and its warmth. */
    final class ServerNode extends RouterComponent {
        final NodeId id;
        NodeState state = NodeState.GONE;
        Endpoint entry;
        double size = 1, weight = 1, openness = 1, pace = 1;
        long started;
        int slot = -1, points;
        boolean restless;
        private int inFlight, ghosts, badRun;
        /** The part of what it is offered that the node takes; falls while its ends are late. */
        private double share = 1;
        private int coldLeft;
        private long windowEnds, judgedAt, toldAt;
        /** What an op lately took here, as reports and ends tell; believed less as it ages. */
        private double span;

        ServerNode(NodeId id) {
            this.id = id;
            WarmStartState.Trust trust = before.nodes().get(id);
            if (trust != null) {
                started = trust.startedAt(); // Where the list tells of another start, that forgets the rest.
                share = Math.max(LEAST_SHARE, 1 - (1 - trust.acceptedShare()) * fading());
            }
        }

        void enter(Endpoint entry) {
            this.entry = entry;
            state = entry.state();
            size = entry.size() > 0 ? entry.size() : 1;
            if (entry.startedAt() > started) {
                restarted(entry.startedAt());
            }
        }

        void restarted(long start) {
            started = start;
            badRun = 0; // A new start forgets what the old process did wrong.
            ghosts = 0;
            share = 1;
            windowEnds = now;
            stir();
        }

        boolean serves() {
            return state == NodeState.READY && !held.containsKey(id);
        }

        /** The share of its capacity that a node is sure to have by now, from 0 to 1. */
        double open() {
            openness = pace * gate.warmth(this);
            return openness;
        }

        @Override void take(RouterMessage note) {
            switch (note.what) {
                case OFFER -> weigh((RingWalk) note);
                case TAKE -> accept(note.op);
                case BEAT -> share = Math.min(1, share * 1.005 + 0.001);
                case GHOST_GONE -> ghosts = Math.max(0, ghosts - 1);
                case DOUBTED -> { // Distrusted sooner; trust is won back as ever.
                    share = Math.max(LEAST_SHARE, share * Math.pow(0.85, MOST_ENDS));
                    stir();
                }
                case ENDED -> {
                    count(-1);
                    judge(note.op, (Event.AttemptEnded) note.event);
                }
                default -> count(-1);
            }
        }

        private void stir() {
            if (!restless && slot >= 0) {
                restless = true;
                loop.post(ring, new RouterMessage(What.RESTLESS, null, this, null, null, 0));
            }
        }

        private void weigh(RingWalk offer) {
            double cap = Math.max(CAP_FLOOR, Math.ceil((1 + EPSILON) * offer.average * weight * openness));
            int load = inFlight + ghosts;
            // Guards against a hot key met by many proxies, each with too few in flight to reach its cap.
            double room = room(offer.op.plan.target());
            double takes = room * Math.min(1, offer.hot ? share : 2 * share);
            if (load < cap && gate.coldRoom(this) && (takes >= 1 || chance.nextDouble() < takes)) {
                accept(offer.op);
                return;
            }
            double burden = (load + 1) / weight / share / room;
            if (burden < offer.leastLoad && gate.coldRoom(this)) {
                offer.least = this;
                offer.leastLoad = burden;
            }
            ServerNode next = offer.next();
            if (next != null) {
                loop.post(next, offer);
            } else if (offer.least != null) {
                loop.post(offer.least, new RouterMessage(What.TAKE, offer.op));
            } else {
                loop.post(desk, new RouterMessage(What.STUCK, offer.op));
            }
        }

        /** The part of its cap that a node has while an op takes longer there than at most others. */
        private double room(long target) {
            if (toldAt == 0) {
                return 1;
            }
            double belief = Math.pow(0.5, (now - toldAt) / (3.0 * SECOND));
            double expected = ring.usual + (span - ring.usual) * belief;
            double fair = Math.max(ring.usual, target / 4.0);
            return expected <= fair ? 1 : Math.max(LEAST_SHARE, fair / expected);
        }

        private void heard(Event.AttemptEnded ended) {
            double told = reports.span(ended.loadReport());
            if (told >= 0 && !origin.is(this)) {
                double seen = ended.outcome() == AttemptOutcome.SUCCESS ? ended.duration() : Math.max(told, ended.duration());
                span += ((told + seen) / 2 - span) * (toldAt == 0 ? 1 : freshness(now - toldAt, 4));
                toldAt = now;
                loop.post(ring, new RouterMessage(What.TOLD, null, this, null, ended, 0));
            }
        }

        private void accept(Request op) {
            count(1);
            loop.post(gate, new RouterMessage(What.SEND, op, this, null, null, 0));
        }

        private void count(int change) {
            inFlight += change;
            if (!origin.is(this)) {
                loop.post(ring, new RouterMessage(What.LOAD, change));
            }
        }

        private void judge(Request op, Event.AttemptEnded ended) {
            heard(ended);
            if (ended.outcome() != AttemptOutcome.NOT_SENT) {
                boolean late = ended.duration() > op.plan.late() || ended.outcome() != AttemptOutcome.SUCCESS
                        && ended.outcome() != AttemptOutcome.CACHE_MISS && ended.outcome() != AttemptOutcome.CANCELLED;
                // Guards against many proxies that each see few ends here: one stands for what others saw.
                double ends = Math.max(1, Math.min(MOST_ENDS, (now - judgedAt) * 4.0 / SECOND));
                judgedAt = now;
                share = Math.max(LEAST_SHARE, Math.min(1, share * Math.pow(late ? 0.85 : 1.03, ends)));
                if (share < 1) {
                    stir();
                }
            }
            switch (ended.outcome()) {
                case SUCCESS, CACHE_MISS -> badRun = 0;
                case NOT_SENT, CANCELLED -> { }
                default -> {
                    // Guards against a cache that fails fast, its count near none: bad ends keep their place.
                    badRun++;
                    ghosts++;
                    long spell = (BEAT / 2) << Math.min(badRun, MOST_DOUBLINGS);
                    loop.wake(this, spell, new RouterMessage(What.GHOST_GONE, 0));
                }
            }
        }
    }

    /** The shared store behind the caches: off the ring, with its own limit and a short queue. */
    private final class OriginLimiter extends RouterComponent {
        private final boolean aside;
        private final MachineKind kind;
        private final ConcurrencyLimit limit = new ConcurrencyLimit();
        private final List<Request> queue = new ArrayList<>();
        private final Map<KeyId, CoalescedFetch> fetches = new HashMap<>();
        private List<ServerNode> members = List.of();
        private final double dearest;
        private double typical;
        private int inFlight;

        OriginLimiter(Settings settings) {
            aside = settings.aside();
            kind = settings.originKind();
            typical = before.originLatency() * fading();
            dearest = settings.categories().stream().mapToDouble(c -> c.priorityWeight()).max().orElse(1);
        }

        boolean is(ServerNode node) {
            return aside && node.entry.kind().equals(kind);
        }

        /** A key being fetched is not asked for again meanwhile. */
        boolean fetching(KeyId key) {
            return key != null && fetches.containsKey(key);
        }

        @Override void take(RouterMessage note) {
            switch (note.what) {
                case WANT -> want(note.op);
                case ENDED -> ended(note.op, (Event.AttemptEnded) note.event);
                case BEGUN -> settle(note.op, true); // Guards against followers held for as long as it takes.
                case VETOED -> {
                    inFlight--;
                    settle(note.op, false);
                }
                case FORGET -> {
                    if (queue.remove(note.op)) {
                        settle(note.op, false);
                    }
                }
                case MEMBERS -> members = nodes.values().stream().filter(n -> n.serves() && is(n)).toList();
                default -> {
                    typical -= inFlight == 0 ? typical * 0.05 : 0;
                    limit.beat();
                }
            }
            pump();
        }

        private void want(Request op) {
            if (members.isEmpty()) {
                loop.post(desk, new RouterMessage(What.STUCK, op));
                return;
            }
            op.waiting = true;
            if (!op.write && op.key != null) {
                CoalescedFetch fetch = fetches.computeIfAbsent(op.key, k -> new CoalescedFetch());
                if (fetch.leader != null && fetch.leader != op) {
                    // Guards against ops held until their TTL for a fetch that takes longer than they have.
                    if (op.useful - now <= typical) {
                        drop(op);
                    } else {
                        fetch.followers.add(op);
                    }
                    return;
                }
                fetch.leader = op;
            }
            // Guards against a queue of ops that will be too late: who cannot make it is answered at once.
            long ahead = queue.stream().filter(other -> other.benefit >= op.benefit).count();
            double wait = typical * (1 + ahead / Math.max(1, limit.level));
            if (op.useful - now <= wait || !limit.lets(op.benefit / dearest)) {
                drop(op);
            } else {
                queue.add(op);
            }
        }

        /** Sends from the queue while the limit allows, dearest first; those that cannot make it give up. */
        private void pump() {
            for (int i = queue.size() - 1; i >= 0; i--) {
                Request op = queue.get(i);
                if (op.useful - now <= typical) {
                    queue.remove(i);
                    drop(op);
                }
            }
            double most = Math.max(1, Math.floor(limit.level));
            while (inFlight < most && !queue.isEmpty() && !members.isEmpty()) {
                Request op = Collections.max(queue, Comparator.comparingDouble(each -> each.benefit));
                queue.remove(op);
                ServerNode node = Collections.min(members, Comparator.comparingInt(each -> each.inFlight));
                inFlight++;
                op.waiting = false;
                loop.post(node, new RouterMessage(What.TAKE, op));
            }
        }

        private void drop(Request op) {
            op.waiting = false;
            settle(op, false);
            loop.post(desk, new RouterMessage(What.GIVE_UP, op, null, null, null, SECOND));
        }

        private void ended(Request op, Event.AttemptEnded ended) {
            inFlight--;
            boolean acked = ended.outcome() == AttemptOutcome.SUCCESS;
            boolean late = ended.duration() > (op.useful - op.arrived) / 2;
            boolean lost = late && limit.least() < 1;
            // Guards against feeding a slowed origin ops that run out of time there: they count as well.
            if (acked || ended.outcome() == AttemptOutcome.TIMED_OUT || lost) {
                typical += (ended.duration() - typical) * freshness(now - limit.endedAt, 8);
            }
            if (lost || ended.outcome() != AttemptOutcome.CANCELLED && ended.outcome() != AttemptOutcome.NOT_SENT) {
                limit.ended(!acked || late, inFlight);
            }
            settle(op, acked);
        }

        /** The fetch that op led has ended: followers ask the cache where it landed, or try themselves. */
        private void settle(Request op, boolean landed) {
            CoalescedFetch fetch = op.write || op.key == null ? null : fetches.get(op.key);
            if (fetch == null || fetch.leader != op) {
                return;
            }
            fetches.remove(op.key);
            for (Request follower : fetch.followers) {
                follower.waiting = false;
                if (!follower.over) {
                    loop.post(landed ? ring : this, new RouterMessage(landed ? What.PLACE : What.WANT, follower,
                            op.missedAt, null, null, 0));
                }
            }
        }
    }

    /** Tells ops within a tenant's share from those beyond it, and sheds while the fleet runs late. */
    private final class AdmissionControl extends RouterComponent {
        /** Of all and of excess: mark of a jam and of its end, ease of a small bound. */
        private static final double[] JAMMED = {3, 2.2}, RELIEVED = {3, 1.1}, EASE = {3, 0};
        private static final double UNEVEN = 1.3, MOST_TIMES = 8, FEW_OPS = 5;
        private final double[] quotas, parts, tokens;
        /** Bounds on ops in flight, and how many times its lowest usual span a push takes. */
        private final double[] levels = {200, 200};
        private double stretch;
        private long judgedAt;
        private final boolean[] jammed = new boolean[2];
        private long filledAt = now;

        AdmissionControl(Settings settings) {
            quotas = new double[settings.tenants().size()];
            tokens = new double[quotas.length];
            parts = new double[quotas.length];
            double all = settings.tenants().stream().mapToDouble(Tenant::quotaPerSecond).sum();
            for (int i = 0; i < quotas.length; i++) {
                Tenant tenant = settings.tenants().get(i);
                quotas[i] = UNEVEN * tenant.quotaPerSecond() / SECOND;
                parts[i] = UNEVEN * tenant.quotaPerSecond() / all;
                tokens[i] = depth(i);
            }
        }

        @Override void take(RouterMessage note) {
            if (note.what == What.ASK) {
                ask(note.op);
                return;
            }
            if (note.what == What.ENDED) {
                Event.AttemptEnded ended = (Event.AttemptEnded) note.event;
                // Guards against a day that begins jammed, its lowest span high: the target counts too.
                boolean lost = ended.outcome() == AttemptOutcome.TIMED_OUT
                        || ended.outcome() == AttemptOutcome.CANCELLED && note.op.expires - now <= SECOND / 50;
                double told = reports.span(ended.loadReport());
                double base = note.op.plan.target() / 6.0;
                // Guards against a jam seen in what is only cold, or in the own wait where caches are quick.
                double span = told >= 0 ? told / base : gate.warmth(note.node)
                        * ended.duration() / Math.max(base / 10, Math.min(note.op.plan.hits().floor(), base));
                double times = lost ? MOST_TIMES : Math.min(MOST_TIMES, span);
                if (told >= 0 || ended.outcome() != AttemptOutcome.NOT_SENT && ended.outcome() != AttemptOutcome.CACHE_MISS
                        && ended.outcome() != AttemptOutcome.OVERLOADED) {
                    stretch += (times - stretch) * freshness(now - judgedAt, 24);
                    judgedAt = now;
                }
                return;
            }
            int used = ring.inFlight;
            double fair = ring.caches / proxies;
            for (int i = 0; i < levels.length; i++) {
                // Guards against a least that crowds the caches, as many proxies each let it through.
                double least = i == 0 ? Math.min(2, 0.5 * fair) : 0;
                // Guards against caches slow until drained: once jammed, cut until well; small bounds bear
                // more.
                double mark = (jammed[i] ? RELIEVED[i] : JAMMED[i]) * (1 + EASE[i] / levels[i]);
                jammed[i] = stretch > mark;
                if (jammed[i]) {
                    levels[i] = Math.max(least, Math.min(levels[i], used + 1) * 0.9);
                } else if (used + 1 >= levels[i] * 0.7) {
                    levels[i] += 0.1 * Math.min(1, fair / 3) + levels[i] * 0.05;
                }
            }
        }

        private void ask(Request op) {
            boolean excess = excess(op.tenant);
            if (excess) {
                op.benefit *= settings.excessBenefit();
            }
            // Where the room is under one op a proxy, its fraction is a chance.
            double level = levels[excess ? 1 : 0];
            if (ring.inFlight >= Math.max(1, level) || level < 1 && level <= chance.nextDouble()) {
                loop.post(gate, new RouterMessage(What.GIVE_UP, op, null, null, null, LONGEST));
            } else {
                loop.post(desk, new RouterMessage(What.ADMITTED, op));
            }
        }

        /** Guards against one proxy of many taking chance for excess: a few ops come in small crowds. */
        private double depth(int tenant) {
            return Math.max(FEW_OPS, quotas[tenant] * SECOND / proxies);
        }

        private boolean excess(int tenant) {
            if (tenant < 0 || tenant >= quotas.length || quotas[tenant] <= 0) {
                return false;
            }
            for (int i = 0; i < tokens.length; i++) {
                // Guards against a proxy that carries far more than most: its own traffic is shared out.
                double due = Math.max(quotas[i] * (now - filledAt) / proxies, parts[i]);
                tokens[i] = Math.min(depth(i), tokens[i] + due);
            }
            filledAt = now;
            boolean spent = tokens[tenant] < 1;
            tokens[tenant] -= spent ? 0 : 1;
            return spent;
        }
    }

    /** Owns every op from its arrival to the end of its last push. */
    private final class RequestTable extends RouterComponent {
        private final RequestPolicy[] plans;
        private final Map<RequestId, Request> ops = new HashMap<>();
        private final long margin;
        private double retries = RETRY_BURST;

        RequestTable(Settings settings) {
            plans = settings.categories().stream().map(RequestPolicy::of).toArray(RequestPolicy[]::new);
            margin = 2 * settings.tick();
        }

        @Override void take(RouterMessage note) {
            Request op = note.op;
            switch (note.what) {
                case EVENT -> told(note.event);
                case ADMITTED -> route(op);
                case SENT -> sent(op, note.push);
                case IMPATIENT -> impatient(op, note.push);
                case FINISH -> finish(op);
                case STUCK, GIVE_UP -> {
                    if (op.open == 0) {
                        long advice = Math.max(BEAT, note.number);
                        loop.post(gate, new RouterMessage(What.GIVE_UP, op, null, null, null, advice));
                    }
                }
                case EXPIRE -> {
                    if (!op.over && !op.streaming) {
                        loop.post(gate, note);
                    }
                }
                default -> {
                    loop.post(ring, note);
                    loop.post(origin, note);
                    loop.wake(this, BEAT, note);
                }
            }
        }

        private void told(Event event) {
            if (event instanceof Event.RequestArrived arrived) {
                arrived(arrived);
            } else if (event instanceof Event.AttemptEnded ended) {
                ended(ended);
            } else if (event instanceof Event.RequestCancelled dropped && ops.get(dropped.request()) != null) {
                finish(ops.get(dropped.request()));
            } else if (event instanceof Event.ShutdownScheduled stop) {
                // Guards against ops that would outlast the process: they are answered as at their TTL.
                long left = Math.max(0, stop.deadline() - margin - now);
                ops.values().forEach(op -> loop.wake(this, left, RouterMessage.expiry(op, LONGEST)));
            } else if (event instanceof Event.StreamingStarted began && ops.get(began.request()) != null) {
                ops.get(began.request()).streaming = true;
                loop.post(origin, new RouterMessage(What.BEGUN, ops.get(began.request())));
            }
        }

        private void arrived(Event.RequestArrived event) {
            int category = event.category().value();
            Request op = new Request(event, plans[Math.max(0, Math.min(plans.length - 1, category))], now);
            ops.put(op.id, op);
            retries = Math.min(RETRY_BURST, retries + RETRY_SHARE);
            if (op.expires - now <= margin) {
                loop.post(gate, new RouterMessage(What.GIVE_UP, op));
                return;
            }
            loop.wake(this, op.expires - now - margin, RouterMessage.expiry(op, LONGEST));
            loop.post(admission, new RouterMessage(What.ASK, op));
        }

        private void route(Request op) {
            boolean toOrigin = origin.aside && (op.write || origin.fetching(op.key));
            loop.post(toOrigin ? origin : ring, new RouterMessage(toOrigin ? What.WANT : What.PLACE, op));
        }

        /** When a push outlasts nearly all others of its category, a second copy may go elsewhere. */
        private void sent(Request op, Attempt push) {
            if (push.fetch || !settings.maySecondCopy() || op.plan.effect() != Effect.IDEMPOTENT) {
                return;
            }
            long most = Math.max(op.plan.target() / 2, 5 * op.plan.hits().floor());
            long patience = Math.min(most, 2 * op.plan.hits().quantile(0.95, op.plan.target() / 4));
            if (op.expires - now > patience + op.plan.hits().quantile(0.5, 0)) {
                loop.wake(this, patience, new RouterMessage(What.IMPATIENT, op, push.node, push, null, 0));
            }
        }

        private void impatient(Request op, Attempt push) {
            if (!op.over && !op.streaming && op.open == 1 && push.open && retries >= 1) {
                retries--;
                loop.post(ring, new RouterMessage(What.PLACE, op));
            }
        }

        private void ended(Event.AttemptEnded event) {
            Request op = ops.get(event.request());
            if (op == null || event.attempt() < 0 || event.attempt() >= op.pushes.size()
                    || !op.pushes.get(event.attempt()).open) {
                return;
            }
            Attempt push = op.pushes.get(event.attempt());
            push.open = false;
            push.mayHaveRun = !event.outcome().provesNotExecuted;
            op.open--;
            RouterMessage ended = new RouterMessage(What.ENDED, op, push.node, push, event, 0);
            loop.post(push.node, ended);
            if (push.fetch) {
                loop.post(origin, ended);
            } else {
                loop.post(admission, ended);
                if (event.outcome() == AttemptOutcome.SUCCESS) {
                    op.plan.hits().add(event.duration());
                }
            }
            if (event.isRequestOver() || op.over) {
                finish(op);
            } else if (event.outcome() == AttemptOutcome.CACHE_MISS) {
                op.missedAt = op.missedAt == null ? push.node : op.missedAt;
                loop.post(origin, new RouterMessage(What.WANT, op));
            } else {
                again(op, push, event.outcome().reachedNoNode() ? 0 : 1);
            }
        }

        /** A push ended without an answer: try elsewhere if rules, time and budget allow, else say so. */
        private void again(Request op, Attempt push, int cost) {
            if (op.open > 0 || op.waiting) {
                return;
            }
            boolean time = op.expires - now - margin > op.plan.hits().quantile(0.25, 0);
            if (time && retries >= cost && gate.mayPush(op)) {
                retries -= cost;
                loop.post(push.fetch ? origin : ring, new RouterMessage(push.fetch ? What.WANT : What.PLACE, op));
            } else {
                loop.post(gate, new RouterMessage(What.GIVE_UP, op, null, null, null, BEAT));
            }
        }

        private void finish(Request op) {
            op.over = true;
            if (op.waiting) {
                loop.post(origin, new RouterMessage(What.FORGET, op));
            }
            if (op.open == 0) {
                ops.remove(op.id);
            }
            loop.post(gate, new RouterMessage(What.CALL_OFF, op));
        }
    }

    /** The four rules. Every push and every final answer passes here, and nowhere else are they made. */
    private final class Dispatcher extends RouterComponent {
        private final long maxAdvice, tick, fallSpan;
        private final double coldBudget;
        private final long begun = now;
        /** Sends to caches, of which what is old counts less. */
        private double sends;
        private long countedAt;

        Dispatcher(Settings settings) {
            maxAdvice = settings.mayAdviseRetry() ? settings.maxRetryAfter() : 0;
            tick = settings.tick();
            coldBudget = settings.fallMultiple() > 0 ? Math.max(0.5, settings.fallMultiple() / 2) : 1e9;
            fallSpan = Math.max(1, settings.fallSpan());
        }

        @Override void take(RouterMessage note) {
            switch (note.what) {
                case SEND -> send(note.op, note.node);
                case CALL_OFF -> callOff(note.op);
                default -> answer(note.op, note.number);
            }
        }

        private void send(Request op, ServerNode node) {
            boolean fetch = origin.is(node);
            if (!mayPush(op) || !mayPushTo(op, node)) {
                loop.post(node, new RouterMessage(What.VETOED, op));
                if (fetch) {
                    loop.post(origin, new RouterMessage(What.VETOED, op));
                }
                loop.post(desk, new RouterMessage(What.STUCK, op));
                return;
            }
            long latest = op.latestBegin(tick);
            Attempt push = new Attempt(node, now, fetch);
            op.pushes.add(push);
            op.open++;
            node.coldLeft--;
            rate();
            sends += node.slot >= 0 ? 1 : 0;
            host.sendAttempt(op.id, node.id, 0, latest);
            loop.post(desk, new RouterMessage(What.SENT, op, node, push, null, 0));
        }

        /** Rules 1 and 2, as far as they do not depend on the node. */
        boolean mayPush(Request op) {
            boolean open = !op.over && !op.streaming && op.expires - now > tick
                    && op.pushes.size() < settings.mostPushes() && (settings.maySecondCopy() || op.open == 0);
            return open && (op.plan.effect() != Effect.AT_MOST_ONCE || !op.mayHaveRun());
        }

        /** Rule 2 for deduplicated ops (group and span), rule 3 (drains), rule 4 (cold nodes). */
        private boolean mayPushTo(Request op, ServerNode node) {
            boolean room = now < op.latestBegin(tick) && node.serves() && (origin.is(node) || coldRoom(node));
            for (Attempt push : op.pushes) {
                boolean same = switch (op.plan.group()) {
                    case ALL_NODES -> true;
                    case ZONE -> push.node.entry.zone().equals(node.entry.zone());
                    case CELL -> push.node.entry.cell().equals(node.entry.cell());
                };
                room &= same || !push.mayHaveRun || op.plan.effect() != Effect.DEDUPLICATED;
            }
            return room;
        }

        /** The one place of final answers; a nack is made only where a repeat is harmless. */
        private void answer(Request op, long wanted) {
            long retryAfter = Math.min(maxAdvice, wanted);
            boolean harmless = switch (op.plan.effect()) {
                case IDEMPOTENT -> true;
                case DEDUPLICATED -> !op.mayHaveRun() || op.plan.group() == DeduplicationScope.ALL_NODES
                        && now + retryAfter < op.pushes.get(0).sent + op.plan.span();
                case AT_MOST_ONCE -> !op.mayHaveRun();
            };
            if (op.over) {
                return;
            } else if (harmless) {
                host.rejectRetryable(op.id, retryAfter);
            } else {
                host.failPermanently(op.id);
            }
            op.over = true;
            loop.post(desk, new RouterMessage(What.FINISH, op));
        }

        private void callOff(Request op) {
            for (int i = 0; settings.mayCancel() && op.open > 0 && i < op.pushes.size(); i++) {
                // An at-most-once op may still be carried out: calling it off would help nobody.
                if (op.pushes.get(i).open && op.plan.effect() == Effect.IDEMPOTENT) {
                    host.cancelAttempt(op.id, i);
                }
            }
        }

        double warmth(ServerNode node) {
            if (node.started <= 0 || settings.warmUp() <= 0 || now >= node.started + settings.warmUp()) {
                return 1;
            }
            return settings.coldFrom() + (1 - settings.coldFrom())
                    * Math.max(0, now - node.started) / settings.warmUp();
        }

        /** Rule 4: within one span a cold node gets no more than its share of what a warm one is sent. */
        boolean coldRoom(ServerNode node) {
            double warmth = warmth(node);
            if (warmth >= 1) {
                return true;
            }
            if (now >= node.windowEnds) {
                // Guards against a least of one at hundreds of proxies: part is a chance, and adds up unused.
                long window = Math.min(BEAT, fallSpan);
                double windows = 1 + (double) (now - node.windowEnds) / window;
                node.windowEnds = now + window;
                double budget = coldBudget * warmth * rate() * node.weight * window / fallSpan;
                node.coldLeft = (int) (Math.max(budget, Math.min(1, budget * windows)) + chance.nextDouble());
            }
            return node.coldLeft > 0;
        }

        /** What a cache is sent in one span for its open weight; a newcomer goes by all it has sent yet. */
        private double rate() {
            double memory = 3.0 * fallSpan;
            sends *= Math.exp((countedAt - now) / memory);
            countedAt = now;
            double seen = 1 - Math.exp(-Math.max(BEAT, now - begun) / memory);
            // Guards against caches that all are cold, so that no share of a warm one's would ever be
            // anything.
            return Math.max(now - begun < settings.warmUp() ? before.sendsPerSecond() * fallSpan / SECOND : 0,
                    sends / seen * fallSpan / memory / Math.max(1, ring.weights));
        }
    }
}

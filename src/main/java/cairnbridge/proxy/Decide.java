package cairnbridge.proxy;

import cairnbridge.admin.ProxyMetrics;
import cairnbridge.admin.ProxyMetrics.AttemptRejection;
import cairnbridge.config.ProxyConfig;
import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Host;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.PeerId;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Ids.TenantId;
import cairnbridge.decision.Ids.TimerId;
import cairnbridge.decision.Router;
import cairnbridge.decision.WarmStartState;
import cairnbridge.fleet.coordination.FleetLoadCounters;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The owner thread: empties the inbox into the module, keeps its timers, and does what it asks for.
 */
final class Decide implements Host, Runnable {
    private static final Logger LOG = Logger.getLogger(Decide.class.getName());
    private static final int BATCH = 64;

    /**
     * Guards against one tenant's quota held against the ops of all: on sockets nobody tells whose
     * they are.
     */
    private static final TenantId NO_TENANT = new TenantId(-1);

    private static final long MOST_SWEEP = Clock.SECOND / 2;

    /** An idle process looks round this often, so that it notices when it was held up. */
    private static final long REST = 20 * Clock.MILLI;

    /** An op whose body passed through is brought to its end this long before its TTL. */
    private static final long LAST_CALL = 20 * Clock.MILLI;

    private static final long HELD_UP = 5 * Clock.MILLI;

    /** An op from its arrival until it is answered and its last push has ended. */
    private static final class Live {
        final Exchange client;
        long expires;
        final List<PushCall> pushes = new ArrayList<>(2);

        /** The push whose answer passes through. */
        PushCall stream;

        boolean answered;
        int open;

        Live(Exchange client, long expires) {
            this.client = client;
            this.expires = expires;
        }
    }

    /**
     * A time at which the module or one push is to be told, or at which one op must have been
     * answered.
     */
    private record Timer(long due, long rank, TimerId timer, PushCall push, RequestId op)
            implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            return due != other.due ? Long.compare(due, other.due) : Long.compare(rank, other.rank);
        }
    }

    private final Inbox inbox;
    private final Clock clock;
    private final Push push;
    private final Probe probe;
    private final Router router;
    private final Holds holds = new Holds();
    private final Map<RequestId, Live> ops = new HashMap<>();
    private final Set<String> open = new HashSet<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();

    /** What the owner thread tells itself; the module is never called from within its own calls. */
    private final ArrayDeque<Notice> later = new ArrayDeque<>();

    private final RosterWatch watch;
    private final ProxyMetrics figures;
    private long toldAt;
    private long lastOp;
    private long lastRank;
    private long sweptAt;
    private long stall;
    private long stallOver;
    private long wokeLast;
    private final long sweep;
    private volatile boolean stopped;
    private volatile int live;
    private volatile WarmStartState learnt = WarmStartState.EMPTY;

    /** Null where no fleet is told of it. */
    private FleetLoadCounters tally;

    /** Null where nothing is kept over a loss of power. */
    private RecoveryLink recovery;

    Decide(
            ProxyConfig config,
            Inbox inbox,
            Clock clock,
            Sockets sockets,
            RosterWatch watch,
            WarmStartState before,
            ProxyMetrics figures) {
        this.figures = figures;
        this.inbox = inbox;
        this.clock = clock;
        this.watch = watch;
        push = new Push(sockets, config.network().connectTimeout(), config.network().idleTimeout());
        sweep = Math.min(MOST_SWEEP, push.sweep());
        probe = new Probe(sockets, inbox, clock, config);
        toldAt = clock.now();
        router = new Router(config.settings(), config.seed(), toldAt, this, before);
    }

    /** Counts for a fleet as well from now on; to be called before the thread starts. */
    void counts(FleetLoadCounters fleet) {
        tally = fleet;
    }

    /** Asks recovery about each new op from now on; to be called before the thread starts. */
    void recoversBy(RecoveryLink link) {
        recovery = link;
    }

    /** Ops taken and not yet answered. */
    int live() {
        return live;
    }

    /** What the module had learnt a moment ago; any thread may ask. */
    WarmStartState learnt() {
        return learnt;
    }

    /** What did not hold, and how often; to be read once the thread has ended. */
    Map<String, Integer> broken() {
        return holds.broken();
    }

    void stop() {
        stopped = true;
    }

    /** Stops once the inbox is empty. */
    void finish() {
        inbox.post(new Notice.Last());
    }

    @Override
    public void run() {
        wokeLast = clock.now();
        while (!stopped) {
            try {
                turn();
            } catch (InterruptedException e) {
                stopped = true;
            } catch (RuntimeException e) {
                LOG.log(Level.SEVERE, "a notice failed", e);
            }
        }
        learnt = router.warmStartState();
    }

    private void turn() throws InterruptedException {
        long wait = REST * Clock.NANOS;
        if (!timers.isEmpty()) {
            wait = Math.max(0, Math.min(wait, clock.nanosUntil(timers.peek().due)));
        }
        Notice notice =
                later.isEmpty() ? wait == 0 ? inbox.poll() : inbox.poll(wait) : later.poll();
        // Guards against a stall of the whole process: what is read after it came during it, and
        // its TTL ran.
        long woke = clock.now();
        long late = woke - wokeLast - wait / Clock.NANOS;
        wokeLast = woke;
        if (late > HELD_UP) {
            stall = late + REST;
            stallOver = woke + REST;
        } else if (woke > stallOver) {
            stall = 0;
        }
        for (int i = 0; notice != null; i++) {
            take(notice);
            notice = !later.isEmpty() ? later.poll() : i < BATCH ? inbox.poll() : null;
        }
        long now = clock.now();
        while (!timers.isEmpty() && timers.peek().due <= now) {
            fire(timers.poll(), now);
        }
        if (now - sweptAt >= sweep) {
            sweptAt = now;
            push.dropIdle(now);
            learnt = router.warmStartState();
            if (tally != null) {
                tally.publish(now);
            }
            if (recovery != null) {
                recovery.turn(now);
            }
        }
    }

    private void fire(Timer timer, long now) {
        if (timer.op != null) {
            expired(ops.get(timer.op));
        } else if (timer.push != null) {
            Live op = ops.get(timer.push.client.op);
            if (op == null || op.stream != timer.push) {
                abandon(timer.push, AttemptOutcome.TIMED_OUT);
            }
        } else {
            tell(now, new Event.TimerFired(timer.timer));
        }
    }

    /** Guards against a defect in the module that leaves an op without an answer. */
    private void expired(Live op) {
        if (op != null && (op.stream != null || op.client.pipe != null)) {
            lastCall(op);
        } else if (!holds.that(op == null || op.answered, "an op is answered before its TTL")) {
            op.client.deadLetter();
            dropped(op);
        }
    }

    /**
     * What passes through has its own ends; an op whose body did has until its TTL to be answered.
     */
    private void lastCall(Live op) {
        boolean waits = false;
        for (PushCall call : op.pushes) {
            if (op.stream == null && call.isOpen()) {
                waits = true;
                abandon(call, AttemptOutcome.TIMED_OUT);
            }
        }
        if (op.stream == null && !waits && !op.answered) {
            op.client.deadLetter();
            dropped(op);
        }
    }

    /** Nothing is owed for it any more, and the module has not said so itself. */
    private void dropped(Live op) {
        answered(op);
        tell(clock.now(), new Event.RequestCancelled(op.client.op));
    }

    private void take(Notice notice) {
        if (notice instanceof Notice.Arrived arrived) {
            arrived(arrived);
        } else if (notice instanceof Notice.PushOver over) {
            ended(over);
        } else if (notice instanceof Notice.Left left) {
            left(left.client());
        } else if (notice instanceof Notice.Unsent unsent) {
            unsent(unsent.call());
        } else if (notice instanceof Notice.ConnectionClosed closed) {
            push.closed(closed.connection());
        } else if (notice instanceof Notice.Listed listed) {
            push.listed(listed.roster(), listed.addresses());
            if (tally != null) {
                tally.endpointListChanged(listed.roster());
            }
            if (recovery != null) {
                recovery.listed(listed.roster(), clock.now());
            }
            tell(clock.now(), listed.roster());
            withdraw();
        } else if (notice instanceof Notice.Probed probed) {
            if (tally != null) {
                tally.probeEnded(probed.node(), probed.ending(), clock.now());
            }
            if (recovery != null) {
                recovery.probed(probed.node(), probed.ending(), clock.now());
            }
            tell(
                    clock.now(),
                    new Event.HealthCheckEnded(
                            probed.node(), probed.ending(), probed.took(), null));
        } else if (notice instanceof Notice.Hint hint) {
            tell(clock.now(), hint.event());
        } else if (notice instanceof Notice.Seen seen) {
            recovery.seen(seen.sight(), clock.now());
        } else if (notice instanceof Notice.Older older) {
            recovery.older(older.version(), clock.now());
        } else if (notice instanceof Notice.Asked asked) {
            checkHealth(asked.node());
        } else if (notice instanceof Notice.Streams streams) {
            streams(streams);
        } else if (notice instanceof Notice.Spent spent) {
            if (ops.get(spent.call().client.op) != null) {
                began(spent.call());
            }
        } else if (notice instanceof Notice.BodyEnded ended) {
            bodyEnded(ended);
        } else if (notice instanceof Notice.Held held) {
            held(held);
        } else if (notice instanceof Notice.StopBy stop) {
            stopBy(stop.time());
        } else if (notice instanceof Notice.Last) {
            stopped = true;
        } else if (notice instanceof Notice.Crowded) {
            push.closeOldest();
        }
    }

    private void tell(long now, Event event) {
        toldAt = now;
        router.handle(now, event);
    }

    private void arrived(Notice.Arrived arrived) {
        Exchange client = arrived.client();
        client.op = new RequestId(++lastOp);
        if (client.isOver()) {
            return;
        }
        // Guards against a stranger who takes the id of an op that is open.
        if (!open.add(client.trace)) {
            client.refuse();
            return;
        }
        long expires = arrived.expires() - stall;
        ops.put(client.op, new Live(client, expires));
        timers.add(new Timer(expires, ++lastRank, null, null, client.op));
        live++;
        if (tally != null) {
            tally.requestAccepted(client.category.value());
        }
        if (recovery != null && !recovery.takes(client, expires, clock.now())) {
            answered(ops.get(client.op));
            return;
        }
        tell(
                clock.now(),
                new Event.RequestArrived(
                        client.op,
                        client.category,
                        NO_TENANT,
                        client.key,
                        expires,
                        0,
                        -1,
                        client.repeat,
                        client.write));
    }

    private void left(Exchange client) {
        Live op = client.op == null ? null : ops.get(client.op);
        if (op != null && op.client == client && !op.answered) {
            dropped(op);
        }
    }

    private void ended(Notice.PushOver over) {
        PushCall call = over.call();
        RequestId id = call.client.op;
        Live op = ops.get(id);
        push.done(
                call,
                over.ending() == AttemptOutcome.SUCCESS
                        || over.ending() == AttemptOutcome.CACHE_MISS
                        || over.ending() == AttemptOutcome.OVERLOADED
                        || over.ending() == AttemptOutcome.ERROR,
                clock.now());
        if (!holds.that(op != null && op.open > 0, "a push ends once, while its op is kept")) {
            return;
        }
        op.open--;
        // Guards against a further push for a client that has gone, of whom no notice has been
        // taken yet.
        if (call.client.hasGone()) {
            left(call.client);
        }
        if (tally != null) {
            long now = clock.now();
            tally.attemptEnded(
                    call.node,
                    call.client.category.value(),
                    over.ending(),
                    call.took(over.ended()),
                    op.expires - now,
                    now);
        }
        if (recovery != null) {
            recovery.ended(call, over.ending(), call.took(over.ended()), clock.now());
        }
        if (over.ending() == AttemptOutcome.SUCCESS
                && !op.answered
                && (op.stream == null || op.stream == call)) {
            if (op.stream == null) {
                call.client.ack(over.body());
            }
            answered(op);
        }
        tell(
                clock.now(),
                new Event.AttemptEnded(
                        id,
                        call.number,
                        call.node,
                        over.ending(),
                        over.note(),
                        call.took(over.ended()),
                        op.answered,
                        null));
        forget(id, op);
    }

    private void streams(Notice.Streams streams) {
        PushCall call = streams.call();
        Live op = ops.get(call.client.op);
        // Guards against an answer that begins just as its push is given up, and would break off at
        // once.
        if (op == null || op.answered || op.stream != null || call.isAbandoned()) {
            streams.answer().drop();
            abandon(call, AttemptOutcome.CANCELLED);
            return;
        }
        op.stream = call;
        call.client.stream(streams.answer());
        // Guards against an answer that goes on at the node, and holds its connection, for nobody.
        if (call.client.hasGone()) {
            left(call.client);
            return;
        }
        began(call);
        for (PushCall other : op.pushes) {
            if (other != call) {
                abandon(other, AttemptOutcome.CANCELLED);
            }
        }
    }

    private void began(PushCall call) {
        long now = clock.now();
        tell(
                now,
                new Event.StreamingStarted(call.client.op, call.number, call.node, call.took(now)));
    }

    /** The process is to end: what it has taken is answered before. */
    private void stopBy(long time) {
        for (Live op : ops.values()) {
            if (op.expires > time) {
                op.expires = time;
                timers.add(new Timer(time, ++lastRank, null, null, op.client.op));
            }
        }
        tell(clock.now(), new Event.ShutdownScheduled(time));
    }

    private void bodyEnded(Notice.BodyEnded ended) {
        Live op = ops.get(ended.client().op);
        if (op != null && op.client == ended.client()) {
            op.expires = ended.expires();
            timers.add(new Timer(op.expires - LAST_CALL, ++lastRank, null, null, op.client.op));
        }
    }

    private void held(Notice.Held held) {
        push.hold(held.node(), held.on());
        tell(clock.now(), new Event.MaintenanceChanged(held.node(), held.on()));
        withdraw();
        held.done().complete(true);
    }

    /**
     * Guards against a push that reaches a node after the word that nothing may, its connection
     * being late.
     */
    private void withdraw() {
        for (Live op : ops.values()) {
            for (PushCall call : op.pushes) {
                if (call.isWaiting() && !push.takes(call.node)) {
                    call.permission.revoke(AttemptRejection.NODE_CLOSED);
                    refuse(call, AttemptRejection.NODE_CLOSED);
                }
            }
        }
    }

    private void refuse(PushCall call, AttemptRejection why) {
        figures.attemptRejected(why);
        abandon(call, AttemptOutcome.NOT_SENT);
    }

    /** Guards against a second way to a node that is asked about nothing any more. */
    private void unsent(PushCall call) {
        call.connection.close();
        if (call.isWaiting()) {
            start(call);
        }
    }

    private void start(PushCall call) {
        AttemptRejection why = call.permission.refusal(clock.now());
        if (why != null) {
            refuse(call, why);
        } else if (!push.start(call)) {
            abandon(call, AttemptOutcome.CONNECT_FAILED);
        }
    }

    private void answered(Live op) {
        op.answered = true;
        live--;
        open.remove(op.client.trace);
        if (recovery != null) {
            recovery.answered(op.client);
        }
        // Guards against a push that goes out after the answer, as its connection comes up.
        for (PushCall call : op.pushes) {
            if (call.isWaiting()) {
                abandon(call, AttemptOutcome.NOT_SENT);
            }
        }
        forget(op.client.op, op);
    }

    private void forget(RequestId id, Live op) {
        if (op.answered && op.open == 0) {
            ops.remove(id);
        }
    }

    private void abandon(PushCall call, AttemptOutcome ending) {
        AttemptOutcome real = call.abandon(ending);
        if (real != null) {
            if (call.connection != null) {
                call.connection.close();
            }
            later.add(new Notice.PushOver(call, real, 0, null, clock.now()));
        }
    }

    @Override
    public void sendAttempt(RequestId id, NodeId node, long timeOut, long latestBegin) {
        Live op = ops.get(id);
        if (!holds.that(op != null && !op.answered, "nothing is sent for an op after its answer")) {
            return;
        }
        long now = clock.now();
        PushCall call =
                new PushCall(
                        op.client,
                        node,
                        op.pushes.size(),
                        op.expires,
                        latestBegin,
                        inbox,
                        clock,
                        figures);
        op.pushes.add(call);
        op.open++;
        long due = timeOut > 0 ? Math.min(op.expires, now + timeOut) : op.expires;
        if (due <= now) {
            abandon(call, AttemptOutcome.NOT_SENT);
            return;
        }
        start(call);
        if (call.isOpen()) {
            timers.add(new Timer(due, ++lastRank, null, call, null));
        }
    }

    @Override
    public void cancelAttempt(RequestId id, int number) {
        Live op = ops.get(id);
        if (op != null && number < op.pushes.size()) {
            abandon(op.pushes.get(number), AttemptOutcome.CANCELLED);
        }
    }

    @Override
    public void rejectRetryable(RequestId id, long retryAfter) {
        answer(id, client -> client.nack(retryAfter));
    }

    @Override
    public void failPermanently(RequestId id) {
        answer(id, Exchange::deadLetter);
    }

    private void answer(RequestId id, Consumer<Exchange> how) {
        Live op = ops.get(id);
        if (holds.that(op != null && !op.answered, "an op has one final answer")) {
            how.accept(op.client);
            answered(op);
        }
    }

    @Override
    public void startTimer(long in, TimerId timer) {
        // Guards against a thread held up while the module decides: its spans count from what it
        // was told.
        timers.add(new Timer(toldAt + in, ++lastRank, timer, null, null));
    }

    @Override
    public void checkHealth(NodeId node) {
        probe.start(node, push.address(node));
    }

    @Override
    public void sendToPeer(PeerId peer, byte[] body) {
        holds.that(false, "the settings allow no messages to peers");
    }

    @Override
    public void subscribeToEndpoints(boolean on) {
        if (watch != null) { // The rehearsal has none.
            watch.subscribe(on);
        }
    }

    @Override
    public void fetchEndpointList() {
        if (watch != null) {
            watch.fetch();
        }
    }

    @Override
    public void avoidedNodeCountChanged(int nodes) {
        figures.setAvoidedNodes(nodes);
    }

    @Override
    public void log(String line) {
        LOG.info(line);
    }
}

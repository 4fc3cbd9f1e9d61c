package cairnbridge.lab.model;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Host;
import cairnbridge.decision.Ids.CategoryId;
import cairnbridge.decision.Ids.KeyId;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.PeerId;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Ids.TenantId;
import cairnbridge.decision.Ids.TimerId;
import cairnbridge.lab.policy.Policy;
import cairnbridge.recovery.AdmissionDecision;
import cairnbridge.recovery.IncomingRequest;
import cairnbridge.simulation.EventQueue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A proxy: the policy that decides, and in place of sockets the net and the nodes. What a push does
 * and how it ends is as in the program; a policy that throws has crashed, and its proxy with it.
 */
public final class ProxyModel implements Host {
    /**
     * What a client is told at last: an HTTP status, and when to come back, in tenths of a
     * millisecond.
     */
    public record Answer(int status, long retryAfter) {
        public static final int OK = 200;
        public static final int NACKED = 503;
        public static final int DEAD = 504;
        public static final int BROKEN = 0;
    }

    /** Where nodes are found. */
    public interface Nodes {
        /** Null where nothing listens there. */
        CacheModel cache(NodeId node);

        /** The origin that a node stands for. */
        OriginModel origin(NodeId node);

        /** The zone of a node. */
        String zone(NodeId node);
    }

    private static final class Call {
        final int number;
        final NodeId node;
        final long sent;
        boolean over;

        Call(int number, NodeId node, long sent) {
            this.number = number;
            this.node = node;
            this.sent = sent;
        }
    }

    private static final class Live {
        final Request request;
        final CategoryId category;
        final long expires;
        final Consumer<Answer> client;
        final List<Call> calls = new ArrayList<>(2);
        boolean answered;
        int open;

        Live(Request request, CategoryId category, long expires, Consumer<Answer> client) {
            this.request = request;
            this.category = category;
            this.expires = expires;
            this.client = client;
        }
    }

    private final String name;
    private final String zone;
    private final EventQueue agenda;
    private final Net net;
    private final Nodes nodes;
    private final Map<RequestId, Live> ops = new HashMap<>();
    private final List<Runnable> backlog = new ArrayList<>();
    private Policy policy;

    /** Null where nothing is kept over a loss of power. */
    private ReturnModel back;

    /** Null where its fleet is told of no ops. */
    private ZonesModel zones;

    private long longestRetry = Long.MAX_VALUE;
    private boolean running = true;
    private boolean frozen;
    private long lastOp;
    private long pushes;
    private String crash = "";

    /** A proxy that has not started. */
    public ProxyModel(String name, String zone, EventQueue agenda, Net net, Nodes nodes) {
        this.name = name;
        this.zone = zone;
        this.agenda = agenda;
        this.net = net;
        this.nodes = nodes;
    }

    /** Before anything else. */
    public ProxyModel by(Policy decides) {
        policy = decides;
        return this;
    }

    /** Asks about each new op from now on; retryAfter: the longest that clients may be told. */
    public void returnsBy(ReturnModel model, long retryAfter) {
        back = model;
        longestRetry = retryAfter;
    }

    /** Plans over zones say from now on where an op may go. */
    public void placedBy(ZonesModel model) {
        zones = model;
    }

    /** Null where there are none. */
    public ZonesModel zones() {
        return zones;
    }

    /** Its recovery after a loss of power. */
    public ReturnModel back() {
        return back;
    }

    /** The policy that decides. */
    public Policy policy() {
        return policy;
    }

    /** Whether it stands still. */
    public boolean isFrozen() {
        return frozen;
    }

    /** Its name. */
    public String name() {
        return name;
    }

    /** Its zone. */
    public String zone() {
        return zone;
    }

    public boolean isRunning() {
        return running;
    }

    /** What its policy threw, empty where it did not. */
    public String crash() {
        return crash;
    }

    /** Attempts so far. */
    public long pushes() {
        return pushes;
    }

    /** All that it holds is gone; its clients' connections break. */
    public void kill() {
        running = false;
        ops.values()
                .forEach(
                        op -> {
                            if (!op.answered) {
                                op.answered = true;
                                op.client.accept(new Answer(Answer.BROKEN, 0));
                            }
                        });
        ops.clear();
    }

    /** Stands still, or goes on with all that came meanwhile. */
    public void freeze(boolean on) {
        frozen = on;
        if (!on) {
            List<Runnable> due = List.copyOf(backlog);
            backlog.clear();
            due.forEach(Runnable::run);
        }
    }

    /** Now, or once it stands still no more; never, if it is gone by then. */
    void when(Runnable what) {
        if (frozen) {
            backlog.add(what);
        } else if (running) {
            what.run();
        }
    }

    /** Hands an event to the policy, once it may handle one. */
    public void tell(Event event) {
        when(
                () -> {
                    if (zones != null && event instanceof Event.EndpointListReceived roster) {
                        zones.listed(roster);
                    }
                    try {
                        policy.handle(agenda.now(), event);
                    } catch (RuntimeException | AssertionError e) {
                        crash = e.toString();
                        kill();
                    }
                });
    }

    /** An op has come; ttl in tenths of a millisecond from now. */
    public void arrives(
            Request request,
            CategoryId category,
            long ttl,
            boolean repeat,
            Consumer<Answer> client) {
        if (!running) {
            client.accept(new Answer(Answer.BROKEN, 0));
            return;
        }
        when(
                () -> {
                    RequestId id = new RequestId(++lastOp);
                    Live op = new Live(request, category, agenda.now() + ttl, client);
                    ops.put(id, op);
                    agenda.schedule(ttl, () -> when(() -> expired(id, op)));
                    if (zones != null) {
                        zones.tally().requestAccepted(category.value());
                    }
                    if (back != null
                            && !taken(
                                    id,
                                    op,
                                    new IncomingRequest(
                                            id,
                                            category,
                                            new KeyId(request.key()),
                                            request.write(),
                                            repeat,
                                            op.expires))) {
                        return;
                    }
                    tell(
                            new Event.RequestArrived(
                                    id,
                                    category,
                                    new TenantId(0),
                                    new KeyId(request.key()),
                                    op.expires,
                                    0,
                                    -1,
                                    repeat,
                                    request.write()));
                });
    }

    private boolean taken(RequestId id, Live op, IncomingRequest arrival) {
        AdmissionDecision verdict = back.arrives(arrival);
        switch (verdict.kind()) {
            case REJECTED ->
                    answer(
                            id,
                            op,
                            new Answer(
                                    Answer.NACKED, Math.min(longestRetry, verdict.retryAfter())));
            case FAILED -> answer(id, op, new Answer(Answer.DEAD, 0));
            default -> {}
        }
        return verdict.kind() == AdmissionDecision.Kind.ADMITTED;
    }

    private void expired(RequestId id, Live op) {
        if (!op.answered) {
            answer(id, op, new Answer(Answer.DEAD, 0));
            tell(new Event.RequestCancelled(id));
        }
    }

    private void answer(RequestId id, Live op, Answer answer) {
        over(id, op);
        op.client.accept(answer);
        forget(id, op);
    }

    private void over(RequestId id, Live op) {
        op.answered = true;
        if (back != null) {
            back.answered(id);
        }
    }

    private void forget(RequestId id, Live op) {
        if (op.answered && op.open == 0) {
            ops.remove(id);
        }
    }

    /** Connections to a node break; those who wait for it hear of that a span later. */
    public void broken(NodeId node) {
        ops.forEach(
                (id, op) -> {
                    for (Call call : op.calls) {
                        if (!call.over && call.node.equals(node)) {
                            agenda.schedule(
                                    net.span(zone, zone), () -> when(() -> reset(id, op, call)));
                        }
                    }
                });
    }

    private void reset(RequestId id, Live op, Call call) {
        ended(id, op, call, new Reply(AttemptOutcome.CONNECTION_LOST, 0));
    }

    @Override
    public void sendAttempt(RequestId id, NodeId node, long timeOut, long latestBegin) {
        Live op = ops.get(id);
        if (op == null || op.answered) {
            throw new IllegalStateException("a push after the answer");
        }
        pushes++;
        Call call = new Call(op.calls.size(), node, agenda.now());
        op.calls.add(call);
        op.open++;
        String there = nodes.zone(node);
        CacheModel cache = nodes.cache(node);
        OriginModel origin = nodes.origin(node);
        if (there == null || cache == null && origin == null) {
            agenda.schedule(
                    2 * net.span(zone, zone),
                    () ->
                            when(
                                    () ->
                                            ended(
                                                    id,
                                                    op,
                                                    call,
                                                    new Reply(AttemptOutcome.CONNECT_FAILED, 0))));
            return;
        }
        long due = Math.min(op.expires - agenda.now(), timeOut > 0 ? timeOut : Long.MAX_VALUE);
        agenda.schedule(
                due, () -> when(() -> ended(id, op, call, new Reply(AttemptOutcome.TIMED_OUT, 0))));
        Consumer<Reply> back =
                reply -> {
                    if (reply.ending() == AttemptOutcome.CACHE_MISS
                            && origin == null
                            && cache != null) {
                        nodes.origin(null).missed(op.request, cache);
                    }
                    agenda.schedule(
                            net.span(there, zone), () -> when(() -> ended(id, op, call, reply)));
                };
        agenda.schedule(
                net.span(zone, there),
                () -> {
                    if (origin != null) {
                        origin.take(op.request, back);
                    } else if (cache.isAlive()) {
                        cache.take(op.request, back);
                    } else {
                        back.accept(new Reply(AttemptOutcome.CONNECT_FAILED, 0));
                    }
                });
    }

    private void ended(RequestId id, Live op, Call call, Reply reply) {
        if (call.over) {
            return;
        }
        call.over = true;
        op.open--;
        if (back != null) {
            back.ended(id, call.node, reply.ending(), agenda.now() - call.sent);
        }
        if (zones != null) {
            zones.tally()
                    .attemptEnded(
                            call.node,
                            op.category.value(),
                            reply.ending(),
                            agenda.now() - call.sent,
                            op.expires - agenda.now(),
                            agenda.now());
        }
        if (reply.ending() == AttemptOutcome.SUCCESS && !op.answered) {
            over(id, op);
            op.client.accept(new Answer(Answer.OK, 0));
        }
        tell(
                new Event.AttemptEnded(
                        id,
                        call.number,
                        call.node,
                        reply.ending(),
                        reply.note(),
                        agenda.now() - call.sent,
                        op.answered,
                        null));
        forget(id, op);
    }

    @Override
    public void cancelAttempt(RequestId id, int number) {
        Live op = ops.get(id);
        if (op != null && number < op.calls.size()) {
            agenda.schedule(
                    0,
                    () ->
                            when(
                                    () ->
                                            ended(
                                                    id,
                                                    op,
                                                    op.calls.get(number),
                                                    new Reply(AttemptOutcome.CANCELLED, 0))));
        }
    }

    @Override
    public void rejectRetryable(RequestId id, long retryAfter) {
        Live op = ops.get(id);
        if (op != null && !op.answered) {
            answer(id, op, new Answer(Answer.NACKED, retryAfter));
        }
    }

    @Override
    public void failPermanently(RequestId id) {
        Live op = ops.get(id);
        if (op != null && !op.answered) {
            answer(id, op, new Answer(Answer.DEAD, 0));
        }
    }

    @Override
    public void startTimer(long in, TimerId timer) {
        agenda.schedule(in, () -> tell(new Event.TimerFired(timer)));
    }

    @Override
    public void checkHealth(NodeId node) {
        long sent = agenda.now();
        String there = nodes.zone(node);
        CacheModel cache = nodes.cache(node);
        boolean good =
                there != null
                        && (nodes.origin(node) != null || cache != null && cache.answersProbes());
        long span =
                there == null
                        ? net.span(zone, zone)
                        : net.span(zone, there) + net.span(there, zone);
        AttemptOutcome ending = good ? AttemptOutcome.SUCCESS : AttemptOutcome.CONNECT_FAILED;
        agenda.schedule(
                span,
                () -> {
                    if (zones != null) {
                        zones.tally().probeEnded(node, ending, agenda.now());
                    }
                    tell(new Event.HealthCheckEnded(node, ending, agenda.now() - sent, null));
                });
    }

    @Override
    public void sendToPeer(PeerId peer, byte[] body) {
        throw new IllegalStateException("the settings allow no messages to peers");
    }

    @Override
    public void subscribeToEndpoints(boolean on) {
        // The list comes by itself in these scenarios.
    }

    @Override
    public void fetchEndpointList() {
        // As above.
    }

    @Override
    public void avoidedNodeCountChanged(int count) {
        // Nobody reads it here.
    }

    @Override
    public void log(String line) {
        // A run is told by its record.
    }
}

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
final class RequestCoordinator implements Host, Runnable {
    private static final Logger LOG = Logger.getLogger(RequestCoordinator.class.getName());
    private static final int MAX_BATCH = 64;

    /**
     * Guards against one tenant's quota held against the ops of all: on sockets nobody tells whose
     * they are.
     */
    private static final TenantId NO_TENANT = new TenantId(-1);

    private static final long MAX_SWEEP_TICKS = TickClock.TICKS_PER_SECOND / 2;

    /** An idle process looks round this often, so that it notices when it was held up. */
    private static final long IDLE_WAKEUP_TICKS = 20 * TickClock.TICKS_PER_MILLI;

    /** An op whose body passed through is brought to its end this long before its TTL. */
    private static final long DEADLINE_MARGIN_TICKS = 20 * TickClock.TICKS_PER_MILLI;

    private static final long STALL_THRESHOLD_TICKS = 5 * TickClock.TICKS_PER_MILLI;

    /** An op from its arrival until it is answered and its last push has ended. */
    private static final class ActiveRequest {
        final ClientExchange exchange;
        long deadlineTicks;
        final List<UpstreamAttempt> attempts = new ArrayList<>(2);

        /** The push whose answer passes through. */
        UpstreamAttempt streamingAttempt;

        boolean answered;
        int openAttempts;

        ActiveRequest(ClientExchange client, long expires) {
            this.exchange = client;
            this.deadlineTicks = expires;
        }
    }

    /**
     * A time at which the module or one push is to be told, or at which one op must have been
     * answered.
     */
    private record Timer(
            long dueTicks,
            long sequence,
            TimerId routerTimer,
            UpstreamAttempt attempt,
            RequestId requestId)
            implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            return dueTicks != other.dueTicks
                    ? Long.compare(dueTicks, other.dueTicks)
                    : Long.compare(sequence, other.sequence);
        }
    }

    private final EventQueue eventQueue;
    private final TickClock clock;
    private final UpstreamPool upstreamPool;
    private final HealthCheck healthCheck;
    private final Router router;
    private final Invariants invariants = new Invariants();
    private final Map<RequestId, ActiveRequest> activeRequests = new HashMap<>();
    private final Set<String> openTraceIds = new HashSet<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();

    /** What the owner thread tells itself; the module is never called from within its own calls. */
    private final ArrayDeque<ProxyEvent> deferredEvents = new ArrayDeque<>();

    private final DiscoveryWatch discoveryWatch;
    private final ProxyMetrics metrics;
    private long lastRouterTimeTicks;
    private long lastRequestNumber;
    private long lastTimerSequence;
    private long lastSweepTicks;
    private long stallTicks;
    private long stallEndsAtTicks;
    private long lastWakeupTicks;
    private final long sweepIntervalTicks;
    private volatile boolean stopped;
    private volatile int activeRequestCount;
    private volatile WarmStartState warmStartState = WarmStartState.EMPTY;

    /** Null where no fleet is told of it. */
    private FleetLoadCounters loadCounters;

    /** Null where nothing is kept over a loss of power. */
    private RecoveryLink recovery;

    RequestCoordinator(
            ProxyConfig config,
            EventQueue inbox,
            TickClock clock,
            ConnectionReactor sockets,
            DiscoveryWatch watch,
            WarmStartState before,
            ProxyMetrics figures) {
        this.metrics = figures;
        this.eventQueue = inbox;
        this.clock = clock;
        this.discoveryWatch = watch;
        upstreamPool =
                new UpstreamPool(
                        sockets, config.network().connectTimeout(), config.network().idleTimeout());
        sweepIntervalTicks = Math.min(MAX_SWEEP_TICKS, upstreamPool.sweepIntervalTicks());
        healthCheck = new HealthCheck(sockets, inbox, clock, config);
        lastRouterTimeTicks = clock.now();
        router = new Router(config.settings(), config.seed(), lastRouterTimeTicks, this, before);
    }

    /** Counts for a fleet as well from now on; to be called before the thread starts. */
    void setLoadCounters(FleetLoadCounters fleet) {
        loadCounters = fleet;
    }

    /** Asks recovery about each new op from now on; to be called before the thread starts. */
    void setRecovery(RecoveryLink link) {
        recovery = link;
    }

    /** Ops taken and not yet answered. */
    int activeRequestCount() {
        return activeRequestCount;
    }

    /** What the module had learnt a moment ago; any thread may ask. */
    WarmStartState warmStartState() {
        return warmStartState;
    }

    /** What did not hold, and how often; to be read once the thread has ended. */
    Map<String, Integer> invariantViolations() {
        return invariants.violations();
    }

    void stop() {
        stopped = true;
    }

    /** Stops once the inbox is empty. */
    void stopWhenDrained() {
        eventQueue.post(new ProxyEvent.StopRequested());
    }

    @Override
    public void run() {
        lastWakeupTicks = clock.now();
        while (!stopped) {
            try {
                processBatch();
            } catch (InterruptedException e) {
                stopped = true;
            } catch (RuntimeException e) {
                LOG.log(Level.SEVERE, "a notice failed", e);
            }
        }
        warmStartState = router.warmStartState();
    }

    private void processBatch() throws InterruptedException {
        long wait = IDLE_WAKEUP_TICKS * TickClock.NANOS_PER_TICK;
        if (!timers.isEmpty()) {
            wait = Math.max(0, Math.min(wait, clock.nanosUntil(timers.peek().dueTicks)));
        }
        ProxyEvent notice =
                deferredEvents.isEmpty()
                        ? wait == 0 ? eventQueue.poll() : eventQueue.poll(wait)
                        : deferredEvents.poll();
        // Guards against a stall of the whole process: what is read after it came during it, and
        // its TTL ran.
        long woke = clock.now();
        long late = woke - lastWakeupTicks - wait / TickClock.NANOS_PER_TICK;
        lastWakeupTicks = woke;
        if (late > STALL_THRESHOLD_TICKS) {
            stallTicks = late + IDLE_WAKEUP_TICKS;
            stallEndsAtTicks = woke + IDLE_WAKEUP_TICKS;
        } else if (woke > stallEndsAtTicks) {
            stallTicks = 0;
        }
        for (int i = 0; notice != null; i++) {
            handleEvent(notice);
            notice =
                    !deferredEvents.isEmpty()
                            ? deferredEvents.poll()
                            : i < MAX_BATCH ? eventQueue.poll() : null;
        }
        long now = clock.now();
        while (!timers.isEmpty() && timers.peek().dueTicks <= now) {
            fireTimer(timers.poll(), now);
        }
        if (now - lastSweepTicks >= sweepIntervalTicks) {
            lastSweepTicks = now;
            upstreamPool.closeExpired(now);
            warmStartState = router.warmStartState();
            if (loadCounters != null) {
                loadCounters.publish(now);
            }
            if (recovery != null) {
                recovery.advance(now);
            }
        }
    }

    private void fireTimer(Timer timer, long now) {
        if (timer.requestId != null) {
            handleExpiry(activeRequests.get(timer.requestId));
        } else if (timer.attempt != null) {
            ActiveRequest op = activeRequests.get(timer.attempt.exchange.requestId);
            if (op == null || op.streamingAttempt != timer.attempt) {
                abandonAttempt(timer.attempt, AttemptOutcome.TIMED_OUT);
            }
        } else {
            notifyRouter(now, new Event.TimerFired(timer.routerTimer));
        }
    }

    /** Guards against a defect in the module that leaves an op without an answer. */
    private void handleExpiry(ActiveRequest op) {
        if (op != null && (op.streamingAttempt != null || op.exchange.requestPipe != null)) {
            abandonAtDeadline(op);
        } else if (!invariants.check(
                op == null || op.answered, "an op is answered before its TTL")) {
            op.exchange.failPermanently();
            dropRequest(op);
        }
    }

    /**
     * What passes through has its own ends; an op whose body did has until its TTL to be answered.
     */
    private void abandonAtDeadline(ActiveRequest op) {
        boolean waits = false;
        for (UpstreamAttempt call : op.attempts) {
            if (op.streamingAttempt == null && call.isOpen()) {
                waits = true;
                abandonAttempt(call, AttemptOutcome.TIMED_OUT);
            }
        }
        if (op.streamingAttempt == null && !waits && !op.answered) {
            op.exchange.failPermanently();
            dropRequest(op);
        }
    }

    /** Nothing is owed for it any more, and the module has not said so itself. */
    private void dropRequest(ActiveRequest op) {
        markAnswered(op);
        notifyRouter(clock.now(), new Event.RequestCancelled(op.exchange.requestId));
    }

    private void handleEvent(ProxyEvent notice) {
        if (notice instanceof ProxyEvent.RequestArrived arrived) {
            handleRequestArrived(arrived);
        } else if (notice instanceof ProxyEvent.AttemptCompleted over) {
            handleAttemptCompleted(over);
        } else if (notice instanceof ProxyEvent.ClientDisconnected left) {
            handleClientDisconnected(left.exchange());
        } else if (notice instanceof ProxyEvent.PooledConnectionFailed unsent) {
            retryOnAnotherConnection(unsent.attempt());
        } else if (notice instanceof ProxyEvent.UpstreamConnectionClosed closed) {
            upstreamPool.connectionClosed(closed.connection());
        } else if (notice instanceof ProxyEvent.EndpointListChanged listed) {
            upstreamPool.endpointListChanged(listed.list(), listed.addresses());
            if (loadCounters != null) {
                loadCounters.endpointListChanged(listed.list());
            }
            if (recovery != null) {
                recovery.endpointListChanged(listed.list(), clock.now());
            }
            notifyRouter(clock.now(), listed.list());
            abandonUnsendableAttempts();
        } else if (notice instanceof ProxyEvent.HealthCheckCompleted probed) {
            if (loadCounters != null) {
                loadCounters.probeEnded(probed.node(), probed.outcome(), clock.now());
            }
            if (recovery != null) {
                recovery.healthCheckCompleted(probed.node(), probed.outcome(), clock.now());
            }
            notifyRouter(
                    clock.now(),
                    new Event.HealthCheckEnded(
                            probed.node(), probed.outcome(), probed.durationTicks(), null));
        } else if (notice instanceof ProxyEvent.RouterEventRaised hint) {
            notifyRouter(clock.now(), hint.event());
        } else if (notice instanceof ProxyEvent.FleetChanged seen) {
            recovery.fleetChanged(seen.snapshot(), clock.now());
        } else if (notice instanceof ProxyEvent.StaleListReceived older) {
            recovery.staleListReceived(older.version(), clock.now());
        } else if (notice instanceof ProxyEvent.HealthCheckRequested asked) {
            checkHealth(asked.node());
        } else if (notice instanceof ProxyEvent.ResponseStreamStarted streams) {
            handleResponseStreamStarted(streams);
        } else if (notice instanceof ProxyEvent.RequestBodyClaimed spent) {
            if (activeRequests.get(spent.attempt().exchange.requestId) != null) {
                notifyStreamBegan(spent.attempt());
            }
        } else if (notice instanceof ProxyEvent.RequestBodyCompleted ended) {
            handleRequestBodyCompleted(ended);
        } else if (notice instanceof ProxyEvent.NodeMaintenanceChanged held) {
            handleMaintenanceChanged(held);
        } else if (notice instanceof ProxyEvent.ShutdownRequested stop) {
            scheduleShutdown(stop.deadlineTicks());
        } else if (notice instanceof ProxyEvent.StopRequested) {
            stopped = true;
        } else if (notice instanceof ProxyEvent.DescriptorBudgetExceeded) {
            upstreamPool.closeOldestIdle();
        }
    }

    private void notifyRouter(long now, Event event) {
        lastRouterTimeTicks = now;
        router.handle(now, event);
    }

    private void handleRequestArrived(ProxyEvent.RequestArrived arrived) {
        ClientExchange client = arrived.exchange();
        client.requestId = new RequestId(++lastRequestNumber);
        if (client.isFinished()) {
            return;
        }
        // Guards against a stranger who takes the id of an op that is open.
        if (!openTraceIds.add(client.traceId)) {
            client.rejectConflict();
            return;
        }
        long expires = arrived.deadlineTicks() - stallTicks;
        activeRequests.put(client.requestId, new ActiveRequest(client, expires));
        timers.add(new Timer(expires, ++lastTimerSequence, null, null, client.requestId));
        activeRequestCount++;
        if (loadCounters != null) {
            loadCounters.requestAccepted(client.category.value());
        }
        if (recovery != null && !recovery.admit(client, expires, clock.now())) {
            markAnswered(activeRequests.get(client.requestId));
            return;
        }
        notifyRouter(
                clock.now(),
                new Event.RequestArrived(
                        client.requestId,
                        client.category,
                        NO_TENANT,
                        client.key,
                        expires,
                        0,
                        -1,
                        client.clientRetry,
                        client.write));
    }

    private void handleClientDisconnected(ClientExchange client) {
        ActiveRequest op = client.requestId == null ? null : activeRequests.get(client.requestId);
        if (op != null && op.exchange == client && !op.answered) {
            dropRequest(op);
        }
    }

    private void handleAttemptCompleted(ProxyEvent.AttemptCompleted over) {
        UpstreamAttempt call = over.attempt();
        RequestId id = call.exchange.requestId;
        ActiveRequest op = activeRequests.get(id);
        upstreamPool.release(
                call,
                over.outcome() == AttemptOutcome.SUCCESS
                        || over.outcome() == AttemptOutcome.CACHE_MISS
                        || over.outcome() == AttemptOutcome.OVERLOADED
                        || over.outcome() == AttemptOutcome.ERROR,
                clock.now());
        if (!invariants.check(
                op != null && op.openAttempts > 0, "a push ends once, while its op is kept")) {
            return;
        }
        op.openAttempts--;
        // Guards against a further push for a client that has gone, of whom no notice has been
        // taken yet.
        if (call.exchange.hasClientDisconnected()) {
            handleClientDisconnected(call.exchange);
        }
        if (loadCounters != null) {
            long now = clock.now();
            loadCounters.attemptEnded(
                    call.node,
                    call.exchange.category.value(),
                    over.outcome(),
                    call.durationTicks(over.endedAtTicks()),
                    op.deadlineTicks - now,
                    now);
        }
        if (recovery != null) {
            recovery.attemptEnded(
                    call, over.outcome(), call.durationTicks(over.endedAtTicks()), clock.now());
        }
        if (over.outcome() == AttemptOutcome.SUCCESS
                && !op.answered
                && (op.streamingAttempt == null || op.streamingAttempt == call)) {
            if (op.streamingAttempt == null) {
                call.exchange.answerSuccess(over.body());
            }
            markAnswered(op);
        }
        notifyRouter(
                clock.now(),
                new Event.AttemptEnded(
                        id,
                        call.attemptNumber,
                        call.node,
                        over.outcome(),
                        over.storeNote(),
                        call.durationTicks(over.endedAtTicks()),
                        op.answered,
                        null));
        removeIfComplete(id, op);
    }

    private void handleResponseStreamStarted(ProxyEvent.ResponseStreamStarted streams) {
        UpstreamAttempt call = streams.attempt();
        ActiveRequest op = activeRequests.get(call.exchange.requestId);
        // Guards against an answer that begins just as its push is given up, and would break off at
        // once.
        if (op == null || op.answered || op.streamingAttempt != null || call.isAbandoned()) {
            streams.responsePipe().discard();
            abandonAttempt(call, AttemptOutcome.CANCELLED);
            return;
        }
        op.streamingAttempt = call;
        call.exchange.streamAnswer(streams.responsePipe());
        // Guards against an answer that goes on at the node, and holds its connection, for nobody.
        if (call.exchange.hasClientDisconnected()) {
            handleClientDisconnected(call.exchange);
            return;
        }
        notifyStreamBegan(call);
        for (UpstreamAttempt other : op.attempts) {
            if (other != call) {
                abandonAttempt(other, AttemptOutcome.CANCELLED);
            }
        }
    }

    private void notifyStreamBegan(UpstreamAttempt call) {
        long now = clock.now();
        notifyRouter(
                now,
                new Event.StreamingStarted(
                        call.exchange.requestId,
                        call.attemptNumber,
                        call.node,
                        call.durationTicks(now)));
    }

    /** The process is to end: what it has taken is answered before. */
    private void scheduleShutdown(long time) {
        for (ActiveRequest op : activeRequests.values()) {
            if (op.deadlineTicks > time) {
                op.deadlineTicks = time;
                timers.add(new Timer(time, ++lastTimerSequence, null, null, op.exchange.requestId));
            }
        }
        notifyRouter(clock.now(), new Event.ShutdownScheduled(time));
    }

    private void handleRequestBodyCompleted(ProxyEvent.RequestBodyCompleted ended) {
        ActiveRequest op = activeRequests.get(ended.exchange().requestId);
        if (op != null && op.exchange == ended.exchange()) {
            op.deadlineTicks = ended.deadlineTicks();
            timers.add(
                    new Timer(
                            op.deadlineTicks - DEADLINE_MARGIN_TICKS,
                            ++lastTimerSequence,
                            null,
                            null,
                            op.exchange.requestId));
        }
    }

    private void handleMaintenanceChanged(ProxyEvent.NodeMaintenanceChanged held) {
        upstreamPool.setMaintenance(held.node(), held.enabled());
        notifyRouter(clock.now(), new Event.MaintenanceChanged(held.node(), held.enabled()));
        abandonUnsendableAttempts();
        held.applied().complete(true);
    }

    /**
     * Guards against a push that reaches a node after the word that nothing may, its connection
     * being late.
     */
    private void abandonUnsendableAttempts() {
        for (ActiveRequest op : activeRequests.values()) {
            for (UpstreamAttempt call : op.attempts) {
                if (call.isWaiting() && !upstreamPool.isAvailable(call.node)) {
                    call.sendPermit.revoke(AttemptRejection.NODE_CLOSED);
                    rejectAttempt(call, AttemptRejection.NODE_CLOSED);
                }
            }
        }
    }

    private void rejectAttempt(UpstreamAttempt call, AttemptRejection why) {
        metrics.attemptRejected(why);
        abandonAttempt(call, AttemptOutcome.NOT_SENT);
    }

    /** Guards against a second way to a node that is asked about nothing any more. */
    private void retryOnAnotherConnection(UpstreamAttempt call) {
        call.connection.close();
        if (call.isWaiting()) {
            startAttempt(call);
        }
    }

    private void startAttempt(UpstreamAttempt call) {
        AttemptRejection why = call.sendPermit.rejection(clock.now());
        if (why != null) {
            rejectAttempt(call, why);
        } else if (!upstreamPool.trySend(call)) {
            abandonAttempt(call, AttemptOutcome.CONNECT_FAILED);
        }
    }

    private void markAnswered(ActiveRequest op) {
        op.answered = true;
        activeRequestCount--;
        openTraceIds.remove(op.exchange.traceId);
        if (recovery != null) {
            recovery.requestAnswered(op.exchange);
        }
        // Guards against a push that goes out after the answer, as its connection comes up.
        for (UpstreamAttempt call : op.attempts) {
            if (call.isWaiting()) {
                abandonAttempt(call, AttemptOutcome.NOT_SENT);
            }
        }
        removeIfComplete(op.exchange.requestId, op);
    }

    private void removeIfComplete(RequestId id, ActiveRequest op) {
        if (op.answered && op.openAttempts == 0) {
            activeRequests.remove(id);
        }
    }

    private void abandonAttempt(UpstreamAttempt call, AttemptOutcome ending) {
        AttemptOutcome real = call.abandon(ending);
        if (real != null) {
            if (call.connection != null) {
                call.connection.close();
            }
            deferredEvents.add(new ProxyEvent.AttemptCompleted(call, real, 0, null, clock.now()));
        }
    }

    @Override
    public void sendAttempt(RequestId id, NodeId node, long timeOut, long latestBegin) {
        ActiveRequest op = activeRequests.get(id);
        if (!invariants.check(
                op != null && !op.answered, "nothing is sent for an op after its answer")) {
            return;
        }
        long now = clock.now();
        UpstreamAttempt call =
                new UpstreamAttempt(
                        op.exchange,
                        node,
                        op.attempts.size(),
                        op.deadlineTicks,
                        latestBegin,
                        eventQueue,
                        clock,
                        metrics);
        op.attempts.add(call);
        op.openAttempts++;
        long due = timeOut > 0 ? Math.min(op.deadlineTicks, now + timeOut) : op.deadlineTicks;
        if (due <= now) {
            abandonAttempt(call, AttemptOutcome.NOT_SENT);
            return;
        }
        startAttempt(call);
        if (call.isOpen()) {
            timers.add(new Timer(due, ++lastTimerSequence, null, call, null));
        }
    }

    @Override
    public void cancelAttempt(RequestId id, int number) {
        ActiveRequest op = activeRequests.get(id);
        if (op != null && number < op.attempts.size()) {
            abandonAttempt(op.attempts.get(number), AttemptOutcome.CANCELLED);
        }
    }

    @Override
    public void rejectRetryable(RequestId id, long retryAfter) {
        sendFinalAnswer(id, client -> client.rejectRetryable(retryAfter));
    }

    @Override
    public void failPermanently(RequestId id) {
        sendFinalAnswer(id, ClientExchange::failPermanently);
    }

    private void sendFinalAnswer(RequestId id, Consumer<ClientExchange> how) {
        ActiveRequest op = activeRequests.get(id);
        if (invariants.check(op != null && !op.answered, "an op has one final answer")) {
            how.accept(op.exchange);
            markAnswered(op);
        }
    }

    @Override
    public void startTimer(long in, TimerId timer) {
        // Guards against a thread held up while the module decides: its spans count from what it
        // was told.
        timers.add(new Timer(lastRouterTimeTicks + in, ++lastTimerSequence, timer, null, null));
    }

    @Override
    public void checkHealth(NodeId node) {
        healthCheck.start(node, upstreamPool.addressOf(node));
    }

    @Override
    public void sendToPeer(PeerId peer, byte[] body) {
        invariants.check(false, "the settings allow no messages to peers");
    }

    @Override
    public void subscribeToEndpoints(boolean on) {
        if (discoveryWatch != null) { // The rehearsal has none.
            discoveryWatch.subscribe(on);
        }
    }

    @Override
    public void fetchEndpointList() {
        if (discoveryWatch != null) {
            discoveryWatch.fetch();
        }
    }

    @Override
    public void avoidedNodeCountChanged(int nodes) {
        metrics.setAvoidedNodes(nodes);
    }

    @Override
    public void log(String line) {
        LOG.info(line);
    }
}

package cairnbridge.proxy;

import cairnbridge.admin.ProxyMetrics;
import cairnbridge.config.ProxyConfig;
import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Host;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.PeerId;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Ids.TimerId;
import cairnbridge.decision.Router;
import cairnbridge.decision.TimeBudget;
import cairnbridge.decision.WarmStartState;
import cairnbridge.fleet.coordination.FleetLoadCounters;
import cairnbridge.proxy.ProxyEvent.AttemptEvent;
import cairnbridge.proxy.ProxyEvent.ClientEvent;
import cairnbridge.proxy.ProxyEvent.ConnectionEvent;
import cairnbridge.proxy.ProxyEvent.ControlEvent;
import cairnbridge.proxy.ProxyEvent.DescriptorBudgetExceeded;
import cairnbridge.proxy.ProxyEvent.FleetEvent;
import cairnbridge.proxy.ProxyEvent.ShutdownRequested;
import cairnbridge.proxy.ProxyEvent.StopRequested;
import cairnbridge.proxy.ProxyEvent.UpstreamConnectionClosed;
import cairnbridge.proxy.TimerQueue.AttemptTimeout;
import cairnbridge.proxy.TimerQueue.RequestDeadline;
import cairnbridge.proxy.TimerQueue.RouterTimer;
import cairnbridge.proxy.TimerQueue.TimerTarget;
import cairnbridge.time.Ticks;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The coordinator thread: takes the proxy's events from the {@link EventQueue}, passes them to the
 * router, and carries out the router's calls to its {@link Host}. The router, the timers and the
 * active requests are used only by this thread; methods that other threads may call say so.
 */
final class RequestCoordinator implements Host, Runnable, RouterNotifier {
    private static final Logger LOG = Logger.getLogger(RequestCoordinator.class.getName());

    /** Adapts the discovery watch to the interface that the coordinator uses. */
    private record WatchSource(DiscoveryWatch watch) implements EndpointSource {
        @Override
        public void subscribe(boolean on) {
            watch.subscribe(on);
        }

        @Override
        public void fetch() {
            watch.fetch();
        }
    }

    /** The most events that are handled before timers are checked. */
    private static final int MAX_BATCH_EVENTS = 64;

    /** The longest interval between two calls of {@link #sweep}. */
    private static final long MAX_SWEEP_INTERVAL_TICKS = Ticks.SECOND / 2;

    /** An idle coordinator wakes up this often, so that it detects a stall of the process. */
    private static final long IDLE_WAKEUP_TICKS = 20 * Ticks.MILLISECOND;

    private final EventQueue eventQueue;
    private final TickClock clock;
    private final EndpointSource endpointSource;
    private final ProxyMetrics metrics;
    private final UpstreamPool upstreamPool;
    private final Router router;
    private final Invariants invariants;
    private final ActiveRequests activeRequests;
    private final TimerQueue timers;
    private final StallHistory stallHistory;
    private final StallDetector stallDetector;
    private final CoordinatorListeners listeners;

    /**
     * Events that this thread raises itself. They are handled after the present one, because the
     * router must not be called back while it makes a call.
     */
    private final ArrayDeque<ProxyEvent> deferredEvents = new ArrayDeque<>();

    private final AttemptSender attemptSender;
    private final RequestCompletion completion;
    private final RequestDeadlines deadlines;
    private final ClientEventHandler clientEvents;
    private final AttemptEventHandler attemptEvents;
    private final FleetEventHandler fleetEvents;
    private final long sweepIntervalTicks;
    private long lastRouterTimeTicks;
    private long lastSweepTicks;
    private volatile boolean stopped;
    private volatile int ringPointCount;
    private volatile WarmStartState warmStartState = WarmStartState.EMPTY;

    /**
     * Creates a coordinator; the caller starts its thread.
     *
     * @param discoveryWatch fetches the endpoint list from discovery; null if there is no discovery
     * @param warmStart the state of an earlier process from which the router starts
     */
    RequestCoordinator(
            ProxyConfig config,
            EventQueue eventQueue,
            TickClock clock,
            ConnectionReactor reactor,
            DiscoveryWatch discoveryWatch,
            WarmStartState warmStart,
            ProxyMetrics metrics) {
        this.metrics = metrics;
        this.eventQueue = eventQueue;
        this.clock = clock;
        endpointSource =
                discoveryWatch == null ? EndpointSource.NONE : new WatchSource(discoveryWatch);
        upstreamPool =
                new UpstreamPool(
                        reactor, config.network().connectTimeout(), config.network().idleTimeout());
        sweepIntervalTicks = Math.min(MAX_SWEEP_INTERVAL_TICKS, upstreamPool.sweepIntervalTicks());
        stallHistory = new StallHistory(IDLE_WAKEUP_TICKS, clock.now());
        stallDetector = new StallDetector(IDLE_WAKEUP_TICKS, stallHistory);
        CoordinatorContext context = new CoordinatorContext(this, clock);
        activeRequests = context.activeRequests();
        timers = context.timers();
        listeners = context.listeners();
        invariants = context.invariants();
        attemptSender =
                new AttemptSender(context, upstreamPool, eventQueue, deferredEvents, metrics);
        completion = new RequestCompletion(context, attemptSender, config.settings().categories());
        ResponseStreaming streaming = new ResponseStreaming(context, attemptSender, completion);
        long answerMarginTicks =
                TimeBudget.answerMargin(config.settings().proxy().clockGranularity());
        deadlines =
                new RequestDeadlines(
                        context, attemptSender, completion, streaming, answerMarginTicks);
        clientEvents = new ClientEventHandler(context, stallDetector, completion, deadlines);
        attemptEvents =
                new AttemptEventHandler(
                        context, upstreamPool, attemptSender, completion, streaming);
        HealthCheck healthCheck = new HealthCheck(reactor, eventQueue, clock, config);
        fleetEvents = new FleetEventHandler(context, upstreamPool, healthCheck, attemptSender);
        lastRouterTimeTicks = clock.now();
        router = new Router(config.settings(), config.seed(), lastRouterTimeTicks, this, warmStart);
    }

    /** Sets the counters of the load for the fleet; must be called before the thread starts. */
    void setLoadCounters(FleetLoadCounters counters) {
        setLoadListener(new FleetLoadListener(counters));
    }

    /** Sets the listener that counts the load; must be called before the thread starts. */
    void setLoadListener(LoadListener listener) {
        listeners.setLoad(listener);
    }

    /** Sets the listener that admits requests; must be called before the thread starts. */
    void setRecovery(RecoveryListener listener) {
        listeners.setRecovery(listener);
    }

    /** The number of requests that are not answered yet; any thread may call this. */
    int activeRequestCount() {
        return activeRequests.unansweredCount();
    }

    /** The number of points on the router's ring; any thread may call this. */
    int ringPointCount() {
        return ringPointCount;
    }

    /** The latest stalls of the process; any thread may call this. */
    StallHistory stallHistory() {
        return stallHistory;
    }

    /** The router's state for a warm start, as of the last sweep; any thread may call this. */
    WarmStartState warmStartState() {
        return warmStartState;
    }

    /** The number of violations of each invariant; may be read once the thread has ended. */
    Map<String, Integer> invariantViolations() {
        return invariants.violations();
    }

    /**
     * Ends the thread after its present batch of events; interrupting the thread as well ends its
     * wait for events. Any thread may call this.
     */
    void stop() {
        stopped = true;
    }

    /**
     * Ends the thread once it has handled the events that are in the queue now; any thread may call
     * this.
     */
    void stopWhenDrained() {
        eventQueue.post(new StopRequested());
    }

    // The event loop.

    @Override
    public void run() {
        stallDetector.started(clock.now());
        while (!stopped) {
            try {
                processBatch();
            } catch (InterruptedException e) {
                stopped = true;
            } catch (RuntimeException e) {
                LOG.log(Level.SEVERE, "coordinator: handling an event failed", e);
            }
        }
        warmStartState = router.warmStartState();
    }

    private void processBatch() throws InterruptedException {
        long waitNanos = nanosUntilNextTimer();
        ProxyEvent event = awaitEvent(waitNanos);
        stallDetector.wokeUp(clock.now(), waitNanos / TickClock.NANOS_PER_TICK);
        for (int handled = 0; event != null; handled++) {
            handleEvent(event);
            event = nextEvent(handled);
        }
        long now = clock.now();
        while (timers.hasDue(now)) {
            fireTimer(timers.removeNext(), now);
        }
        if (now - lastSweepTicks >= sweepIntervalTicks) {
            lastSweepTicks = now;
            sweep(now);
        }
    }

    private long nanosUntilNextTimer() {
        long idleNanos = IDLE_WAKEUP_TICKS * TickClock.NANOS_PER_TICK;
        return timers.isEmpty()
                ? idleNanos
                : Math.max(0, Math.min(idleNanos, clock.nanosUntil(timers.nextDueTicks())));
    }

    /** Returns the next event, waiting for at most this time; null if there is none. */
    private ProxyEvent awaitEvent(long waitNanos) throws InterruptedException {
        if (!deferredEvents.isEmpty()) {
            return deferredEvents.poll();
        }
        return waitNanos == 0 ? eventQueue.poll() : eventQueue.poll(waitNanos);
    }

    /** Returns the next event of a batch; null if none is queued or the batch is full. */
    private ProxyEvent nextEvent(int handled) {
        if (!deferredEvents.isEmpty()) {
            return deferredEvents.poll();
        }
        return handled < MAX_BATCH_EVENTS ? eventQueue.poll() : null;
    }

    private void fireTimer(TimerTarget target, long now) {
        if (target instanceof RequestDeadline deadline) {
            deadlines.deadlineReached(deadline.request());
        } else if (target instanceof AttemptTimeout timeout) {
            deadlines.attemptTimedOut(timeout.request(), timeout.attemptNumber());
        } else if (target instanceof RouterTimer routerTimer) {
            notifyRouter(now, new Event.TimerFired(routerTimer.timer()));
        }
    }

    /** Closes expired connections, publishes the load, and advances the recovery. */
    private void sweep(long now) {
        upstreamPool.closeExpired(now);
        warmStartState = router.warmStartState();
        listeners.load().publish(now);
        listeners.recovery().advance(now);
    }

    private void handleEvent(ProxyEvent event) {
        if (event instanceof ClientEvent clientEvent) {
            clientEvents.handle(clientEvent);
        } else if (event instanceof AttemptEvent attemptEvent) {
            attemptEvents.handle(attemptEvent);
        } else if (event instanceof ConnectionEvent connectionEvent) {
            handleConnectionEvent(connectionEvent);
        } else if (event instanceof FleetEvent fleetEvent) {
            fleetEvents.handle(fleetEvent);
        } else if (event instanceof ControlEvent controlEvent) {
            handleControlEvent(controlEvent);
        }
    }

    private void handleConnectionEvent(ConnectionEvent event) {
        if (event instanceof UpstreamConnectionClosed closed) {
            upstreamPool.connectionClosed(closed.connection());
        } else if (event instanceof DescriptorBudgetExceeded) {
            upstreamPool.closeOldestIdle();
        }
    }

    private void handleControlEvent(ControlEvent event) {
        if (event instanceof ShutdownRequested requested) {
            deadlines.scheduleShutdown(requested.deadlineTicks());
        } else if (event instanceof StopRequested) {
            stopped = true;
        }
    }

    @Override
    public void notifyRouter(long nowTicks, Event event) {
        lastRouterTimeTicks = nowTicks;
        router.handle(nowTicks, event);
        publishRingPointCount();
    }

    private void publishRingPointCount() {
        int count = router.ringPointCount();
        if (count != ringPointCount) {
            ringPointCount = count;
        }
    }

    // The methods of Host, which the router calls while it handles an event.

    @Override
    public void sendAttempt(RequestId id, NodeId node, long timeout, long latestStart) {
        ActiveRequest request = activeRequests.find(id);
        if (invariants.check(
                request != null && !request.isAnswered(),
                "no attempt is sent after its request was answered")) {
            attemptSender.startAttempt(request, node, timeout, latestStart);
        }
    }

    @Override
    public void cancelAttempt(RequestId id, int attempt) {
        ActiveRequest request = activeRequests.find(id);
        if (request != null && attempt < request.attempts().size()) {
            attemptSender.abandonAttempt(request.attempts().get(attempt), AttemptOutcome.CANCELLED);
        }
    }

    @Override
    public void rejectRetryable(RequestId id, long retryAfter) {
        completion.sendFinalAnswer(id, exchange -> exchange.rejectRetryable(retryAfter));
    }

    @Override
    public void failPermanently(RequestId id) {
        completion.sendFinalAnswer(id, ClientExchange::failPermanently);
    }

    @Override
    public void startTimer(long delay, TimerId timer) {
        // Guards against a timer that fires late because the thread was stalled while the router
        // handled the event: the delay counts from the time of the event.
        timers.scheduleRouterTimer(lastRouterTimeTicks + delay, timer);
    }

    @Override
    public void checkHealth(NodeId node) {
        fleetEvents.checkHealth(node);
    }

    @Override
    public void sendToPeer(PeerId peer, byte[] body) {
        invariants.check(false, "the settings allow no messages to peers");
    }

    @Override
    public void subscribeToEndpoints(boolean on) {
        endpointSource.subscribe(on);
    }

    @Override
    public void fetchEndpointList() {
        endpointSource.fetch();
    }

    @Override
    public void avoidedNodeCountChanged(int count) {
        metrics.setAvoidedNodes(count);
    }

    @Override
    public void log(String line) {
        LOG.log(Level.INFO, "{0}", line);
    }
}

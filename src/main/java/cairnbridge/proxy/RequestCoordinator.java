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
 * The owner thread: takes the events of the proxy from their queue, passes them to the router, and
 * does what the router asks for. The router, the timers and the requests belong to this thread
 * alone; methods that other threads may call say so.
 */
final class RequestCoordinator implements Host, Runnable, RouterNotifier {
    private static final Logger LOG = Logger.getLogger(RequestCoordinator.class.getName());

    /** The watch as the coordinator sees it. */
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

    /** Timers are looked at after at most so many events of the queue. */
    private static final int MAX_BATCH = 64;

    private static final long MAX_SWEEP_TICKS = Ticks.SECOND / 2;

    /** An idle process wakes up this often, so that it notices when it was stalled. */
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
    private final StallDetector stallDetector = new StallDetector(IDLE_WAKEUP_TICKS);
    private final CoordinatorListeners listeners;

    /** Events of the owner thread itself: the router is never called within its own calls. */
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
    private volatile WarmStartState warmStartState = WarmStartState.EMPTY;

    /**
     * A coordinator whose thread is not started yet.
     *
     * @param discoveryWatch asks discovery for the endpoint list; null where nobody is asked
     * @param warmStart what the router starts with
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
        sweepIntervalTicks = Math.min(MAX_SWEEP_TICKS, upstreamPool.sweepIntervalTicks());
        CoordinatorContext context = new CoordinatorContext(this, clock);
        activeRequests = context.activeRequests();
        timers = context.timers();
        listeners = context.listeners();
        invariants = context.invariants();
        attemptSender =
                new AttemptSender(context, upstreamPool, eventQueue, deferredEvents, metrics);
        completion = new RequestCompletion(context, attemptSender);
        deadlines = new RequestDeadlines(context, attemptSender, completion);
        clientEvents = new ClientEventHandler(context, stallDetector, completion, deadlines);
        attemptEvents = new AttemptEventHandler(context, upstreamPool, attemptSender, completion);
        HealthCheck healthCheck = new HealthCheck(reactor, eventQueue, clock, config);
        fleetEvents = new FleetEventHandler(context, upstreamPool, healthCheck, attemptSender);
        lastRouterTimeTicks = clock.now();
        router = new Router(config.settings(), config.seed(), lastRouterTimeTicks, this, warmStart);
    }

    /** Counts the load for a fleet from now on; to be called before the thread starts. */
    void setLoadCounters(FleetLoadCounters counters) {
        setLoadListener(new FleetLoadListener(counters));
    }

    /** Sets who counts the load; to be called before the thread starts. */
    void setLoadListener(LoadListener listener) {
        listeners.setLoad(listener);
    }

    /** Sets who admits requests during recovery; to be called before the thread starts. */
    void setRecovery(RecoveryListener listener) {
        listeners.setRecovery(listener);
    }

    /** The number of requests that are not answered yet; any thread may call this. */
    int activeRequestCount() {
        return activeRequests.unansweredCount();
    }

    /** What the router had learnt a moment ago; any thread may call this. */
    WarmStartState warmStartState() {
        return warmStartState;
    }

    /** The number of violations by invariant; to be read once the thread has ended. */
    Map<String, Integer> invariantViolations() {
        return invariants.violations();
    }

    /**
     * Ends the thread, which must be interrupted if it is to end at once; any thread may call this.
     */
    void stop() {
        stopped = true;
    }

    /**
     * Ends the thread once it has handled all that is in the queue now; any thread may call this.
     */
    void stopWhenDrained() {
        eventQueue.post(new StopRequested());
    }

    // The loop.

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

    /** The next event, waited for at most so long; null if there is none. */
    private ProxyEvent awaitEvent(long waitNanos) throws InterruptedException {
        if (!deferredEvents.isEmpty()) {
            return deferredEvents.poll();
        }
        return waitNanos == 0 ? eventQueue.poll() : eventQueue.poll(waitNanos);
    }

    /** The next event of this batch, of which so many are handled; null if there is none. */
    private ProxyEvent nextEvent(int handled) {
        if (!deferredEvents.isEmpty()) {
            return deferredEvents.poll();
        }
        return handled < MAX_BATCH ? eventQueue.poll() : null;
    }

    private void fireTimer(TimerTarget target, long now) {
        if (target instanceof RequestDeadline deadline) {
            deadlines.deadlineReached(deadline.request());
        } else if (target instanceof AttemptTimeout timeout) {
            deadlines.attemptTimedOut(timeout.attempt());
        } else if (target instanceof RouterTimer routerTimer) {
            notifyRouter(now, new Event.TimerFired(routerTimer.timer()));
        }
    }

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
    }

    // What the router asks for.

    @Override
    public void sendAttempt(RequestId id, NodeId node, long timeout, long latestStart) {
        ActiveRequest request = activeRequests.find(id);
        if (invariants.check(
                request != null && !request.isAnswered(),
                "no attempt is sent after the answer of its request")) {
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
        // Guards against a thread that stalls while the router decides: its delays count from the
        // time it was given with the event.
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

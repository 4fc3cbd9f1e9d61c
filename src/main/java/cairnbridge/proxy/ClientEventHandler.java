package cairnbridge.proxy;

import cairnbridge.decision.Event;
import cairnbridge.decision.Ids.TenantId;
import cairnbridge.proxy.ProxyEvent.ClientDisconnected;
import cairnbridge.proxy.ProxyEvent.ClientEvent;
import cairnbridge.proxy.ProxyEvent.RequestArrived;
import cairnbridge.proxy.ProxyEvent.RequestBodyCompleted;

/** Handles the events of clients and their requests. Used only by the coordinator thread. */
final class ClientEventHandler {
    /**
     * Guards against counting the requests of all tenants against the quota of one: HTTP requests
     * carry no tenant id.
     */
    private static final TenantId NO_TENANT = new TenantId(-1);

    private final ActiveRequests activeRequests;
    private final StallDetector stallDetector;
    private final RequestCompletion completion;
    private final RequestDeadlines deadlines;
    private final CoordinatorListeners listeners;
    private final RouterNotifier router;
    private final TickClock clock;

    ClientEventHandler(
            CoordinatorContext context,
            StallDetector stallDetector,
            RequestCompletion completion,
            RequestDeadlines deadlines) {
        this.activeRequests = context.activeRequests();
        this.stallDetector = stallDetector;
        this.completion = completion;
        this.deadlines = deadlines;
        this.listeners = context.listeners();
        this.router = context.router();
        this.clock = context.clock();
    }

    /** Calls the method that handles this kind of client event. */
    void handle(ClientEvent event) {
        if (event instanceof RequestArrived arrived) {
            handleRequestArrived(arrived.exchange(), arrived.deadlineTicks());
        } else if (event instanceof ClientDisconnected disconnected) {
            completion.dropDisconnected(disconnected.exchange());
        } else if (event instanceof RequestBodyCompleted completed) {
            deadlines.requestBodyCompleted(completed.exchange(), completed.deadlineTicks());
        }
    }

    private void handleRequestArrived(ClientExchange exchange, long announcedDeadlineTicks) {
        exchange.requestId = activeRequests.nextId();
        if (exchange.isFinished()) {
            return;
        }
        // Guards against running a request twice: the second one with the same trace id is
        // rejected.
        if (!activeRequests.claimTraceId(exchange.traceId, clock.now())) {
            exchange.rejectConflict();
            return;
        }
        // The reactor may have measured a part of the stall already.
        long unmeasuredStallTicks =
                Math.max(0, stallDetector.stallTicks() - exchange.readDelayTicks());
        long deadlineTicks = announcedDeadlineTicks - unmeasuredStallTicks;
        ActiveRequest request = activeRequests.add(exchange, deadlineTicks);
        deadlines.schedule(request);
        listeners.load().requestAccepted(exchange.category.value());
        if (!listeners.recovery().admit(exchange, deadlineTicks, clock.now())) {
            completion.markAnswered(request);
            return;
        }
        router.notifyRouter(
                clock.now(),
                new Event.RequestArrived(
                        request.id(),
                        exchange.category,
                        NO_TENANT,
                        exchange.key,
                        deadlineTicks,
                        0,
                        -1,
                        exchange.clientRetry,
                        exchange.write));
    }
}

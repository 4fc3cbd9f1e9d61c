package cairnbridge.proxy;

/**
 * The state and the collaborators that the event handlers of a {@link RequestCoordinator} share.
 * Used only by the coordinator thread.
 */
record CoordinatorContext(
        ActiveRequests activeRequests,
        TimerQueue timers,
        CoordinatorListeners listeners,
        Invariants invariants,
        RouterNotifier router,
        TickClock clock) {
    /** Creates a context without requests, timers or listeners. */
    CoordinatorContext(RouterNotifier router, TickClock clock) {
        this(
                new ActiveRequests(),
                new TimerQueue(),
                new CoordinatorListeners(),
                new Invariants(),
                router,
                clock);
    }
}

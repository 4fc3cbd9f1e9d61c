package cairnbridge.proxy;

/** What the parts of the coordinator share. For the owner thread. */
record CoordinatorContext(
        ActiveRequests activeRequests,
        TimerQueue timers,
        CoordinatorListeners listeners,
        Invariants invariants,
        RouterNotifier router,
        TickClock clock) {
    /** An empty context. */
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

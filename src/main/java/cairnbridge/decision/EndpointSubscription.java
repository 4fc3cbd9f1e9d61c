package cairnbridge.decision;

import cairnbridge.time.Ticks;

/**
 * Asks discovery for the endpoint list again after a failure. Guards against a discovery service of
 * fixed capacity that all proxies ask at once: the waits grow at random, and one runs at a time.
 */
final class EndpointSubscription {
    private static final int MAX_DOUBLINGS = 2;

    private final RouterContext context;
    private int failures;
    private long nextAttemptAt;

    EndpointSubscription(RouterContext context) {
        this.context = context;
    }

    void succeeded() {
        failures = 0;
    }

    void failed() {
        long now = context.now();
        if (now < nextAttemptAt) {
            return;
        }
        long bound = Ticks.SECOND << Math.min(failures++, MAX_DOUBLINGS);
        long wait = RouterContext.HOUSEKEEPING_INTERVAL + context.random.nextLong(bound);
        long longest =
                Math.max(
                        RouterContext.HOUSEKEEPING_INTERVAL,
                        TimeBudget.maxListRetryWait(context.settings.discovery().retryWithin()));
        nextAttemptAt = now + Math.min(wait, longest);
        context.loop.schedule(nextAttemptAt - now, () -> context.host.subscribeToEndpoints(true));
    }
}

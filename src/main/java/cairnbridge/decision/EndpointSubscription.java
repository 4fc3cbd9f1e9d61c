package cairnbridge.decision;

import cairnbridge.time.Ticks;

/**
 * Renews the subscription to the endpoint list after a failure. Guards against overloading
 * discovery, which has a fixed capacity, with simultaneous retries from all proxies: the delay is
 * random, its bound doubles with each of the first consecutive failures, and only one retry is
 * scheduled at a time.
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
        long maxWait =
                Math.max(
                        RouterContext.HOUSEKEEPING_INTERVAL,
                        TimeBudget.maxListRetryWait(context.settings.discovery().retryWithin()));
        nextAttemptAt = now + Math.min(wait, maxWait);
        context.loop.schedule(nextAttemptAt - now, () -> context.host.subscribeToEndpoints(true));
    }
}

package cairnbridge.decision;

import cairnbridge.decision.Ids.ZoneId;

/**
 * Starts the ring walk of a request: selects the zone, and the first of the key's caches to offer
 * the request to.
 */
final class RequestPlacer {
    /**
     * A key whose traffic exceeds this fraction of one cache's fair share is spread over several
     * caches.
     */
    private static final double HOT_KEY_SHARE = 0.5;

    /** A key whose traffic exceeds this fraction of one cache's fair share counts as popular. */
    private static final double POPULAR_KEY_SHARE = HOT_KEY_SHARE / 5;

    private final RouterContext context;
    private final KeyPopularity popularity = new KeyPopularity();

    RequestPlacer(RouterContext context) {
        this.context = context;
    }

    void place(Request request) {
        place(request, null);
    }

    /** Offers a request to the caches, to the given cache first if it is not null. */
    void place(Request request, ServerNode first) {
        HashRing ring = context.ring;
        int caches = ring.cacheCount();
        ZoneId zone = context.placement().zone(request.ringPoint, request.policy.category());
        double average = zone != null ? ring.averageLoad(zone) : ring.averageLoad();
        double shareMultiple =
                popularity.fairShareMultiple(
                        request.ringPoint,
                        caches,
                        request.isClientRetry,
                        context.proxyCount() > caches,
                        context.origin.limit().level() >= 1);
        RingWalk walk =
                new RingWalk(
                        request, ring, first, average, shareMultiple > POPULAR_KEY_SHARE, zone);
        ServerNode home = walk.next();
        // Guards against a key with more traffic than one cache can serve, requested through many
        // proxies: its requests start at a random one of several neighbouring caches.
        int spread = Math.min(caches, (int) Math.ceil(shareMultiple / HOT_KEY_SHARE));
        boolean isSpread = spread > 1 && first == null && home != null;
        ServerNode start = isSpread ? walk.startNear(home, spread, context.random) : home;
        if (start != null) {
            context.loop.post(() -> start.offer(walk));
        } else {
            long retryAfter = zone == null ? 0 : RouterContext.LONGEST_RETRY_AFTER;
            context.loop.post(() -> context.requests.cannotContinue(request, retryAfter));
        }
    }
}

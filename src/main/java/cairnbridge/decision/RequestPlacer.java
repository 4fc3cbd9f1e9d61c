package cairnbridge.decision;

import cairnbridge.decision.Ids.ZoneId;

/** Begins a request's walk over the ring: in which zone, and at which of the key's caches. */
final class RequestPlacer {
    /** The part of a cache's fair share of the traffic from which on one key is spread. */
    private static final double HOT_SHARE = 0.5;

    /** The part of that from which on a key counts as often requested. */
    private static final double POPULAR_SHARE = HOT_SHARE / 5;

    private final RouterContext context;
    private final KeyPopularity popularity = new KeyPopularity();

    RequestPlacer(RouterContext context) {
        this.context = context;
    }

    void place(Request request) {
        place(request, null);
    }

    /** Offers a request to the caches, first to a given one if there is one. */
    void place(Request request, ServerNode first) {
        HashRing ring = context.ring;
        int caches = ring.cacheCount();
        ZoneId zone = context.placement().zone(request.ringPoint, request.policy.category());
        double average = zone != null ? ring.averageLoad(zone) : ring.averageLoad();
        double shares =
                popularity.shares(
                        request.ringPoint,
                        caches,
                        request.isClientRetry,
                        context.proxyCount() > caches,
                        context.origin.limit().level() >= 1);
        RingWalk walk = new RingWalk(request, ring, first, average, shares > POPULAR_SHARE, zone);
        ServerNode home = walk.next();
        // Guards against a key hotter than a cache, met by many: its requests start at one of some
        // neighbours.
        int spread = Math.min(caches, (int) Math.ceil(shares / HOT_SHARE));
        boolean isSpread = spread > 1 && first == null && home != null;
        ServerNode start = isSpread ? walk.startNear(home, spread, context.random) : home;
        if (start != null) {
            context.loop.post(() -> start.consider(walk));
        } else {
            long retryAfter = zone == null ? 0 : RouterContext.LONGEST_RETRY_AFTER;
            context.loop.post(() -> context.requests.cannotContinue(request, retryAfter));
        }
    }
}

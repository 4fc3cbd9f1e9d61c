package cairnbridge.decision;

import cairnbridge.decision.Ids.ZoneId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * One walk clockwise over the distinct nodes of the ring, from the point of a request's key. It
 * carries the average load and the least loaded node seen.
 */
final class RingWalk {
    final Request request;
    final double averageLoad;
    final boolean isKeyPopular;
    private final HashRing ring;

    /** Null for any zone. */
    private final ZoneId zone;

    private final BitSet seenSlots;
    private final ArrayDeque<ServerNode> preferred = new ArrayDeque<>();
    private int position;
    private int pointsLeft;
    private int unseenCaches;
    private ServerNode leastLoaded;
    private double leastLoad = Double.MAX_VALUE;

    RingWalk(
            Request request,
            HashRing ring,
            ServerNode first,
            double averageLoad,
            boolean isKeyPopular,
            ZoneId zone) {
        this.request = request;
        this.ring = ring;
        this.averageLoad = averageLoad;
        this.isKeyPopular = isKeyPopular;
        this.zone = zone;
        seenSlots = new BitSet(ring.slotCount());
        pointsLeft = Placement.NOWHERE.equals(zone) ? 0 : ring.points().size();
        unseenCaches = ring.cacheCount();
        position = ring.points().indexOf(request.ringPoint);
        if (first != null && first.isOnRing() && first.isReady()) {
            markSeen(first);
            preferred.add(first);
        }
    }

    /** Starts at a random one of some neighbours of a node; the others are asked next. */
    ServerNode startNear(ServerNode home, int spread, RandomGenerator random) {
        List<ServerNode> neighbours = new ArrayList<>();
        ServerNode node = home;
        while (node != null) {
            neighbours.add(node);
            node = neighbours.size() < spread ? next() : null;
        }
        ServerNode start = neighbours.remove(random.nextInt(neighbours.size()));
        preferred.addAll(neighbours);
        return start;
    }

    /** The next node that has had no attempt of this request; null where there is none. */
    ServerNode next() {
        if (!preferred.isEmpty()) {
            return preferred.poll();
        }
        while (pointsLeft > 0 && unseenCaches > 0) {
            ServerNode node = step();
            if (node != null && !request.hasAttemptAt(node)) {
                return node;
            }
        }
        return null;
    }

    /** Passes one point; its owner where it is open, not seen before and in the zone, or null. */
    private ServerNode step() {
        RingPoints points = ring.points();
        int here = position;
        position = here + 1 == points.size() ? 0 : here + 1;
        pointsLeft--;
        ServerNode node = ring.owner(points.slot(here));
        boolean isCandidate =
                !seenSlots.get(node.slot())
                        && node.isPointOpen(points.rank(here))
                        && (zone == null || node.isInZone(zone));
        if (!isCandidate) {
            return null;
        }
        markSeen(node);
        return node;
    }

    private void markSeen(ServerNode node) {
        seenSlots.set(node.slot());
        unseenCaches--;
    }

    /** Whether a load is under the least seen so far. */
    boolean isLeastLoad(double load) {
        return load < leastLoad;
    }

    void rememberLeastLoaded(ServerNode node, double load) {
        leastLoaded = node;
        leastLoad = load;
    }

    /** The least loaded node seen that could take the request; null where none could. */
    ServerNode leastLoaded() {
        return leastLoaded;
    }
}

package cairnbridge.decision;

import cairnbridge.decision.Ids.ZoneId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * A clockwise walk over the distinct nodes of the ring, starting at the point of a request's key.
 * It stores the average load and the least loaded node seen so far.
 */
final class RingWalk {
    final Request request;
    final double averageLoad;
    final boolean isKeyPopular;
    private final HashRing ring;

    /** The zone to which the walk is restricted, null for any zone. */
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

    /** Starts at a random one of the nearest neighbours of a node; the others are visited next. */
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

    /** Returns the next node that has had no attempt of this request, or null if there is none. */
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

    /**
     * Moves past one point. Returns its owner if the point is open and the owner is in the zone and
     * not yet seen, otherwise null.
     */
    private ServerNode step() {
        RingPoints points = ring.points();
        int index = position;
        position = index + 1 == points.size() ? 0 : index + 1;
        pointsLeft--;
        ServerNode node = ring.owner(points.slot(index));
        boolean isCandidate =
                !seenSlots.get(node.slot())
                        && node.isPointOpen(points.rank(index))
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

    /** Whether a load is below the lowest load seen so far. */
    boolean isLeastLoad(double load) {
        return load < leastLoad;
    }

    void rememberLeastLoaded(ServerNode node, double load) {
        leastLoaded = node;
        leastLoad = load;
    }

    /** The least loaded node seen that could accept the request, null if there is none. */
    ServerNode leastLoaded() {
        return leastLoaded;
    }
}

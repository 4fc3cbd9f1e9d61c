package cairnbridge.decision;

import cairnbridge.decision.Ids.ZoneId;
import cairnbridge.hash.SplitMix64;
import cairnbridge.time.Ticks;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** The virtual nodes of all ready caches, and the load over them. */
final class HashRing {
    /** The virtual nodes of a cache of nominal size. */
    private static final int POINTS_PER_NODE = 256;

    private static final double SMOOTHING = 0.2;
    private static final long SPEED_UPDATE_INTERVAL = Ticks.SECOND / 2;

    private final RouterContext context;
    private final RingPoints points = new RingPoints();

    /** By slot; a slot that fell free is used again. */
    private final List<ServerNode> owners = new ArrayList<>();

    /**
     * The caches in slow start or lately unhealthy: only they change from one housekeeping to the
     * next.
     */
    private final List<ServerNode> nodesInTransition = new ArrayList<>();

    private int cacheCount;
    private int inFlight;
    private double smoothedInFlight;

    /** The weight of all caches, and what of it is open now. */
    private double totalWeight;

    private double openWeight;
    private long speedsUpdatedAt;

    HashRing(RouterContext context) {
        this.context = context;
    }

    RingPoints points() {
        return points;
    }

    ServerNode owner(int slot) {
        return owners.get(slot);
    }

    int slotCount() {
        return owners.size();
    }

    int cacheCount() {
        return cacheCount;
    }

    /** This proxy's attempts in flight to caches. */
    int inFlight() {
        return inFlight;
    }

    double openWeight() {
        return openWeight;
    }

    void inFlightChanged(int change) {
        inFlight += change;
    }

    void nodeInTransition(ServerNode node) {
        nodesInTransition.add(node);
    }

    /** The attempts in flight for a cache of nominal weight. */
    double averageLoad() {
        return openWeight <= 0 ? 0 : Math.max(inFlight, smoothedInFlight) / openWeight;
    }

    /** The same over the caches of one zone, where a plan keeps a request to that. */
    double averageLoad(ZoneId zone) {
        List<ServerNode> inZone =
                owners.stream().filter(node -> node != null && node.isInZone(zone)).toList();
        double weight = inZone.stream().mapToDouble(ServerNode::openWeight).sum();
        int load = inZone.stream().mapToInt(ServerNode::inFlight).sum();
        return weight <= 0 ? 0 : load / weight;
    }

    /** Periodic work. It must not grow with the fleet, as many proxies see few requests each. */
    void housekeeping() {
        smoothedInFlight += (inFlight - smoothedInFlight) * SMOOTHING;
        long now = context.now();
        if (now - speedsUpdatedAt >= SPEED_UPDATE_INTERVAL) {
            if (context.fleetLatency.reportedAt() >= speedsUpdatedAt) {
                updateSpeeds();
            }
            speedsUpdatedAt = now;
        }
        openWeight = totalWeight;
        long avoided = context.registry.maintenanceCount();
        for (int i = nodesInTransition.size() - 1; i >= 0; i--) {
            ServerNode node = nodesInTransition.get(i);
            if (node.updateTransition()) {
                avoided += node.isAvoided() ? 1 : 0;
                openWeight -= node.closedWeight();
                context.loop.post(node::recoverHealth);
            } else {
                nodesInTransition.remove(i);
            }
        }
        context.host.avoidedNodeCountChanged((int) avoided);
        context.loop.post(context.admission::housekeeping);
    }

    /**
     * Guards against sizes that say nothing of speed: slower kinds of machine open a part of their
     * points.
     */
    private void updateSpeeds() {
        speedsUpdatedAt = context.now();
        totalWeight = 0;
        double leastWork = context.fleetLatency.leastWork();
        for (ServerNode node : context.registry.nodes()) {
            node.speedChanged(context.fleetLatency.speed(node.machineKind(), leastWork));
            totalWeight += node.isOnRing() ? node.weight() * node.speed() : 0;
        }
    }

    /** Follows the endpoint list; nodes that stay keep their points. */
    void rebuild() {
        BitSet freedSlots = new BitSet();
        double totalSize = 0;
        cacheCount = 0;
        int addedPoints = 0;
        for (ServerNode node : context.registry.nodes()) {
            int wanted = wantedPoints(node);
            if (wanted != node.pointCount() && node.isOnRing()) {
                freedSlots.set(node.slot());
                owners.set(node.slot(), null);
                node.leaveRing();
            }
            node.pointCountChanged(wanted);
            addedPoints += node.isOnRing() ? 0 : wanted;
            totalSize += wanted > 0 ? node.size() : 0;
            cacheCount += wanted > 0 ? 1 : 0;
        }
        points.change(freedSlots, join(totalSize, addedPoints));
        context.registry.forgetGoneNodes();
        context.loop.post(context.origin::membersChanged);
        updateSpeeds();
        housekeeping();
    }

    /** Points follow the node's own size, not the fleet's mean, so that others' points stay put. */
    private int wantedPoints(ServerNode node) {
        if (!node.isReady() || context.origin.contains(node)) {
            return 0;
        }
        long count = Math.min(RingPoints.MAX_RANKS, Math.round(POINTS_PER_NODE * node.size()));
        return (int) Math.max(1, count);
    }

    /** Gives slots to nodes that have none yet; the encoded points of these nodes. */
    private long[] join(double totalSize, int addedPoints) {
        long[] added = new long[addedPoints];
        int next = addedPoints;
        for (ServerNode node : context.registry.nodes()) {
            node.weightChanged(totalSize > 0 ? node.size() * cacheCount / totalSize : 1);
            if (node.pointCount() == 0 || node.isOnRing()) {
                continue;
            }
            int slot = freeSlot();
            owners.set(slot, node);
            node.joinRing(slot);
            for (int rank = 0; rank < node.pointCount(); rank++) {
                long place = SplitMix64.mix(SplitMix64.mix(node.id().value()) + rank);
                added[--next] = RingPoints.encode(place, slot, rank);
            }
            node.enterTransition();
        }
        return added;
    }

    private int freeSlot() {
        int free = owners.indexOf(null);
        if (free >= 0) {
            return free;
        }
        owners.add(null);
        return owners.size() - 1;
    }
}

package cairnbridge.decision;

import cairnbridge.decision.Ids.ZoneId;
import cairnbridge.hash.SplitMix64;
import cairnbridge.time.Ticks;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** The consistent-hashing ring: the virtual nodes of all ready caches, and the load on them. */
final class HashRing {
    /** The number of virtual nodes of a cache of size 1. */
    private static final int POINTS_PER_NODE = 256;

    private static final double IN_FLIGHT_SMOOTHING = 0.2;
    private static final long SPEED_UPDATE_INTERVAL = Ticks.SECOND / 2;

    private final RouterContext context;
    private final RingPoints points = new RingPoints();

    /** The owner of each slot; null for a free slot, which is reused. */
    private final List<ServerNode> owners = new ArrayList<>();

    /**
     * The caches that are in slow start or not fully healthy. Housekeeping visits only these, as no
     * other node's share changes between two runs.
     */
    private final List<ServerNode> nodesInTransition = new ArrayList<>();

    private int cacheCount;
    private int inFlight;
    private double smoothedInFlight;

    /** The total weight of all caches, and the part of it that is currently open. */
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

    /** The number of this proxy's attempts in flight to caches. */
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

    /** The average number of attempts in flight per unit of open weight. */
    double averageLoad() {
        return openWeight <= 0 ? 0 : Math.max(inFlight, smoothedInFlight) / openWeight;
    }

    /**
     * The average load over the caches of one zone, for a request that the zone plan keeps in that
     * zone.
     */
    double averageLoad(ZoneId zone) {
        List<ServerNode> inZone =
                owners.stream().filter(node -> node != null && node.isInZone(zone)).toList();
        double weight = inZone.stream().mapToDouble(ServerNode::openWeight).sum();
        int load = inZone.stream().mapToInt(ServerNode::inFlight).sum();
        return weight <= 0 ? 0 : load / weight;
    }

    /**
     * Periodic work. Its cost must not grow with the size of the fleet: it runs in every proxy, and
     * many proxies handle few requests each.
     */
    void housekeeping() {
        smoothedInFlight += (inFlight - smoothedInFlight) * IN_FLIGHT_SMOOTHING;
        long now = context.now();
        if (now - speedsUpdatedAt >= SPEED_UPDATE_INTERVAL) {
            if (context.fleetLatency.lastReportAt() >= speedsUpdatedAt) {
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
     * Guards against overloading machines whose nominal size overstates their speed: nodes of a
     * slower machine kind open only a part of their points.
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

    /**
     * Rebuilds the ring from the endpoint list. Nodes whose number of points is unchanged keep
     * their points.
     */
    void rebuild() {
        BitSet freedSlots = new BitSet();
        double totalSize = 0;
        cacheCount = 0;
        for (ServerNode node : context.registry.nodes()) {
            int wantedCount = wantedPointCount(node);
            if (wantedCount != node.pointCount() && node.isOnRing()) {
                freedSlots.set(node.slot());
                owners.set(node.slot(), null);
                node.leaveRing();
            }
            node.pointCountChanged(wantedCount);
            totalSize += wantedCount > 0 ? node.size() : 0;
            cacheCount += wantedCount > 0 ? 1 : 0;
        }
        points.change(freedSlots, join(totalSize));
        context.registry.removeGoneNodes();
        context.loop.post(context.origin::membersChanged);
        updateSpeeds();
        housekeeping();
    }

    /**
     * The number of points depends on the node's own size only, not on the fleet's mean, so that a
     * change of one node does not move the points of others.
     */
    private int wantedPointCount(ServerNode node) {
        if (!node.isReady() || context.origin.contains(node)) {
            return 0;
        }
        long count = Math.min(RingPoints.MAX_RANKS, Math.round(POINTS_PER_NODE * node.size()));
        return (int) Math.max(1, count);
    }

    /** Assigns slots to nodes that have none, and returns the points of these nodes. */
    private List<NodePoints> join(double totalSize) {
        List<NodePoints> joined = new ArrayList<>();
        for (ServerNode node : context.registry.nodes()) {
            node.weightChanged(totalSize > 0 ? node.size() * cacheCount / totalSize : 1);
            if (node.pointCount() == 0 || node.isOnRing()) {
                continue;
            }
            int slot = freeSlot();
            owners.set(slot, node);
            node.joinRing(slot);
            long nodeHash = SplitMix64.mix(node.id().value());
            joined.add(new NodePoints(nodeHash, slot, node.pointCount()));
            node.enterTransition();
        }
        return joined;
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

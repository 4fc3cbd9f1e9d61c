package cairnbridge.decision;

import cairnbridge.decision.RecordedRouter.ListedNode;
import cairnbridge.decision.RecordedRouter.RecordedScope;
import cairnbridge.decision.RecordedRouter.RecordedState;
import cairnbridge.decision.RecordedSettings.RunSetup;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/**
 * The nodes of a recorded run: their states in the endpoint list, their maintenance, and the zone
 * plan.
 */
final class WorkloadNodes {
    private static final int CACHES = 14;
    private static final int ORIGIN_REPLICAS = 2;
    private static final int LAST_FAST_NODE = 9;
    private static final long FIRST_ORIGIN_REPLICA = 900;

    private final RunSetup setup;
    private final Random random;
    private final RecordedRouter router;

    /** Indexed by node: the caches first, then the replicas of the origin. */
    private final RecordedState[] states = new RecordedState[CACHES + ORIGIN_REPLICAS];

    private final double[] sizes = new double[CACHES + ORIGIN_REPLICAS];
    private final long[] startTimes = new long[CACHES + ORIGIN_REPLICAS];
    private final boolean[] inMaintenance = new boolean[CACHES + ORIGIN_REPLICAS];
    private boolean isPlacedNowhere;

    /** Creates nodes that are all ready and were started long ago. */
    WorkloadNodes(RunSetup setup, Random random, RecordedRouter router) {
        this.setup = setup;
        this.random = random;
        this.router = router;
        Arrays.fill(states, RecordedState.READY);
        Arrays.fill(sizes, 1);
    }

    /** Whether this node is a replica of the origin. */
    static boolean isOrigin(long node) {
        return node >= FIRST_ORIGIN_REPLICA;
    }

    /** Whether this node is a cache of the slower machine kind. */
    static boolean isSlow(long node) {
        return node > LAST_FAST_NODE && !isOrigin(node);
    }

    /** Returns a node that is or was listed, or sometimes one that never is. */
    long randomNode() {
        return nodeId(random.nextInt(CACHES + ORIGIN_REPLICAS + 1));
    }

    /** Reports an endpoint list of all nodes that are not gone. */
    void listAll(RecordedScope scope) {
        List<ListedNode> listed = new ArrayList<>();
        for (int index = 0; index < states.length; index++) {
            if (states[index] != RecordedState.GONE) {
                listed.add(listedNode(index));
            }
        }
        router.endpointListReceived(scope, listed);
    }

    /** Changes nodes or their maintenance, or reports a complete, empty or failed list. */
    void randomChange() {
        int roll = random.nextInt(20);
        if (roll < 10) {
            changeNodes();
        } else if (roll < 13) {
            changeMaintenance();
        } else if (roll < 15) {
            listAll(random.nextInt(3) == 0 ? RecordedScope.CACHED : RecordedScope.FULL);
        } else if (roll < 17) {
            router.endpointListReceived(RecordedScope.FAILED, List.of());
        } else {
            RecordedScope[] scopes = {
                RecordedScope.CACHED, RecordedScope.FULL, RecordedScope.CHANGES
            };
            router.endpointListReceived(scopes[random.nextInt(3)], List.of());
        }
    }

    /**
     * Changes the zone plan. A plan that rejects all requests is always followed by an unrestricted
     * one.
     */
    void changePlacement() {
        int roll = random.nextInt(4);
        if (isPlacedNowhere || roll == 0) {
            isPlacedNowhere = false;
            router.placeAnywhere();
        } else if (roll == 1) {
            isPlacedNowhere = true;
            router.placeNowhere();
        } else {
            router.placeByZone(random.nextInt(setup.zones()), setup.zones());
        }
    }

    private void changeNodes() {
        List<ListedNode> changed = new ArrayList<>();
        for (int i = random.nextInt(3); i >= 0; i--) {
            int index = random.nextInt(states.length);
            changeNode(index);
            changed.add(listedNode(index));
        }
        router.endpointListReceived(RecordedScope.CHANGES, changed);
    }

    /**
     * Changes one node. An unavailable node usually returns, mostly restarted; a ready node is
     * removed, drains, restarts or changes its size.
     */
    private void changeNode(int index) {
        int roll = random.nextInt(6);
        boolean isUnavailable = states[index] != RecordedState.READY;
        if (isUnavailable || roll >= 4) {
            states[index] = isUnavailable && roll == 0 ? RecordedState.GONE : RecordedState.READY;
            startTimes[index] = roll == 5 ? startTimes[index] : router.host().clock();
        } else if (roll < 2) {
            states[index] = roll == 0 ? RecordedState.GONE : RecordedState.DRAINING;
        } else {
            sizes[index] = random.nextInt(9) / 4.0;
        }
    }

    private void changeMaintenance() {
        int index = random.nextInt(states.length);
        for (int i = 0; i < states.length; i++) {
            index = inMaintenance[i] && random.nextInt(2) == 0 ? i : index;
        }
        inMaintenance[index] = !inMaintenance[index];
        router.maintenanceChanged(nodeId(index), inMaintenance[index]);
    }

    private ListedNode listedNode(int index) {
        boolean isOrigin = index >= CACHES;
        long node = nodeId(index);
        int kind = isOrigin ? RecordedSettings.ORIGIN_KIND : isSlow(node) ? 1 : 0;
        int zone = index % setup.zones();
        return new ListedNode(
                node, states[index], kind, sizes[index], startTimes[index], index % 4, zone);
    }

    private static long nodeId(int index) {
        return index >= CACHES ? FIRST_ORIGIN_REPLICA + index - CACHES : 1 + index;
    }
}

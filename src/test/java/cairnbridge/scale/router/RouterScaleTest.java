package cairnbridge.scale.router;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.decision.Event.NodeState;
import cairnbridge.scale.router.DriveCounts.HostCall;
import java.util.Arrays;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * What a router does must not grow with the nodes; counted, so that no machine's speed is in it.
 */
class RouterScaleTest {
    private static final int FEW = 28;
    private static final int MANY = 310;
    private static final int REQUESTS = 10_000;
    private static final int KEYS = 5_000;
    private static final double PER_SECOND = 1_167;
    private static final double LATENCY_MS = 10;

    private static RouterLoad load(int nodes, int proxies, int zones) {
        return new RouterLoad(nodes, proxies, zones, REQUESTS, PER_SECOND, LATENCY_MS, KEYS, 1, 7);
    }

    private static DriveCounts play(RouterLoad load) {
        return RouterScale.drive(load, KeyHomes.of(load)).arrive(load.requests());
    }

    @Test
    void aRequestMakesNoMoreCallsOnTheHostWhereThereAreMoreNodes() {
        DriveCounts few = play(load(FEW, 1_800, 0));
        DriveCounts many = play(load(MANY, 1_800, 0));
        assertEquals(REQUESTS, few.calls(HostCall.PUSH), "one push a request");
        assertEquals(REQUESTS, many.calls(HostCall.PUSH), "one push a request");
        assertTrue(few.perRequest(few.calls()) < 2.1, "a push, a timer, and now and then a beat");
        assertEquals(few.calls(), many.calls());
        assertEquals(0, many.calls(HostCall.REFUSAL));
    }

    /** Walks hold a bit a node: a request may cost that, and not a record a node. */
    @Test
    void aRequestAllocatesLessThanTwiceAsMuchAtElevenTimesTheNodes() {
        double few = allocatedPerRequest(load(FEW, 1_800, 0));
        double many = allocatedPerRequest(load(MANY, 1_800, 0));
        assertTrue(many < 2 * few, few + " bytes a request, then " + many);
    }

    private static double allocatedPerRequest(RouterLoad load) {
        RouterDrive drive = RouterScale.drive(load, KeyHomes.of(load));
        return (double) ThreadCosts.of(() -> drive.arrive(load.requests())).bytes() / REQUESTS;
    }

    @Test
    void aListMakesNoMoreCallsOnTheHostWhereItIsLonger() {
        assertEquals(callsOfAChange(FEW), callsOfAChange(MANY));
    }

    private static long callsOfAChange(int nodes) {
        RouterLoad load = load(nodes, 1_800, 0);
        RouterDrive drive = RouterScale.drive(load, new int[0]);
        drive.tell(load.change(1, NodeState.DRAINING));
        drive.tell(load.change(1, NodeState.READY));
        return drive.arrive(0).calls();
    }

    @Test
    void whatIsInFlightFollowsFromRateAndLatency() {
        DriveCounts counts = play(load(MANY, 1_800, 0));
        double expected = PER_SECOND * LATENCY_MS / 1000 / MANY;
        assertEquals(expected, counts.inFlightPerNode(MANY), 0.05 * expected);
    }

    @Test
    void everyRequestIsPlacedAtItsHomeOrCountedAsMoved() {
        DriveCounts counts = play(load(FEW, 1_800, 0));
        assertEquals(REQUESTS, counts.atHome + counts.movedFromBusyHome + counts.movedFromFreeHome);
        assertTrue(counts.movedFromBusyHome > 0, "some homes had enough in flight for the bound");
        assertTrue(counts.movedFromBusyHome <= counts.homeBusy);
    }

    /**
     * Keys asked for alike meet in a slot of the heat count by chance, and few look hot by that.
     */
    @Test
    void aProxyAloneMovesFewRequestsFromAFreeHome() {
        DriveCounts counts = play(load(MANY, 1, 0));
        assertTrue(
                counts.movedFromFreeHome < 0.01 * REQUESTS,
                counts.movedFromFreeHome + " of " + REQUESTS);
    }

    @Test
    void aPlanKeepsEveryHomeToTheZoneOfItsKey() {
        RouterLoad load = load(MANY, 1, 10);
        int[] planned = KeyHomes.of(load);
        int[] unplanned = KeyHomes.of(load(MANY, 1, 0));
        assertEquals(KEYS, planned.length);
        assertTrue(Arrays.mismatch(planned, unplanned) >= 0, "a plan changes homes");
        assertEquals(REQUESTS, play(load).calls(HostCall.PUSH));
    }

    /**
     * Little's law holds for all proxies together, and the worst node has no less than the mean.
     */
    @Test
    void aFleetsLoadOnTheNodesIsTheSumOverItsProxies() {
        int proxies = 20;
        Map<String, Double> figures = FleetLoad.figures(load(FEW, proxies, 0), 1);
        assertEquals(proxies * (double) (int) PER_SECOND, figures.get("requests"));
        double expected = proxies * PER_SECOND * LATENCY_MS / 1000 / FEW;
        assertEquals(expected, figures.get("mean_in_flight_per_node"), 0.1 * expected);
        double requests = figures.get("worst_requests_over_mean");
        assertTrue(requests >= 1 && requests < 2, "of requests " + requests);
        assertTrue(figures.get("worst_in_flight_over_mean") >= 1);
    }

    @Test
    void theSameSeedGivesTheSameCounts() {
        assertArrayEquals(
                RouterScale.countFigures(load(FEW, 9, 0), play(load(FEW, 9, 0))).values().toArray(),
                RouterScale.countFigures(load(FEW, 9, 0), play(load(FEW, 9, 0)))
                        .values()
                        .toArray());
    }
}

package cairnbridge.zones.plan;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import cairnbridge.Fixtures;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * The encoding of plans must stay compatible with the fixture, which an earlier version has
 * written.
 */
public class PlanFormatTest {
    /** The plan in the fixture, with one route for each reason. */
    public static Plan fixture() {
        Zone a = new Zone("zone-a");
        Zone b = new Zone("zone-b");
        Zone c = new Zone("zone-c");
        Zone e = new Zone("zone-e");
        Zone f = new Zone("zone-f");
        Zone g = new Zone("zone-g");
        Map<Zone, ZoneRoute> routes = new TreeMap<>();
        routes.put(a, new ZoneRoute(Map.of(b, 400, c, 350), 250, RoutingReason.PANIC));
        routes.put(b, new ZoneRoute(Map.of(b, 900, c, 100), 0, RoutingReason.FULL));
        routes.put(c, new ZoneRoute(Map.of(a, 1000), 0, RoutingReason.DRAINED));
        routes.put(
                new Zone("zone-d"), new ZoneRoute(Map.of(b, 1000), 0, RoutingReason.UNREACHABLE));
        routes.put(e, new ZoneRoute(Map.of(e, 50, b, 950), 0, RoutingReason.DEGRADED));
        routes.put(f, new ZoneRoute(Map.of(f, 700, b, 300), 0, RoutingReason.RECOVERING));
        routes.put(g, new ZoneRoute(Map.of(g, 1000), 0, RoutingReason.HEALTHY));
        return new Plan(12, routes, Map.of(c, 1_700_000_999_000L), "proxy-b");
    }

    @Test
    void aPlanOfAnEarlierVersionIsRead() throws Exception {
        assertEquals(fixture(), PlanCodec.decode(Fixtures.bytes("plan.cbor")));
    }

    @Test
    void theSamePlanIsWrittenAsTheSameBytes() throws Exception {
        assertArrayEquals(Fixtures.bytes("plan.cbor"), PlanCodec.encode(fixture()));
    }
}

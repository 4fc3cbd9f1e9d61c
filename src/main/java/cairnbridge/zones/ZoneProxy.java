package cairnbridge.zones;

import cairnbridge.fleet.member.MemberMetrics;
import cairnbridge.zones.plan.ListedNode;
import cairnbridge.zones.routing.ZoneRouter;
import java.util.List;

/** The proxy as {@link ZoneMember} uses it. No method blocks. */
public interface ZoneProxy {
    /** The cache nodes of the endpoint list. */
    List<ListedNode> listedNodes();

    /**
     * The nodes and zones that the proxy cannot reach, with the outcomes of its attempts by zone.
     */
    MemberMetrics.Reachability reachability();

    /** The fraction of its full request rate that a node is given right after its start. */
    double slowStartFactor();

    /** The time until a started node is given its full request rate, in ticks. */
    long slowStartDuration();

    /** Applies a new route for the requests of this proxy's zone. */
    void routeChanged(ZoneRouter.LocalRoute route);
}

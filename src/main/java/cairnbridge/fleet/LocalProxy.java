package cairnbridge.fleet;

import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.member.MemberMetrics;
import cairnbridge.fleet.member.RecoveryProgress;
import cairnbridge.fleet.membership.MembershipView;
import cairnbridge.zones.ZoneProxy;

/**
 * The proxy that a fleet member belongs to, as seen by that member. Every method is called on the
 * transport's thread and must not block.
 */
public interface LocalProxy extends ZoneProxy {
    /** The proxy's current operating state. */
    MemberMetadata.Lifecycle lifecycle();

    /** The proxy's current metrics. */
    MemberMetrics metrics();

    @Override
    default MemberMetrics.Reachability reachability() {
        return metrics().reachability();
    }

    /** The proxy's progress in its recovery from a power loss. */
    RecoveryProgress recoveryProgress();

    /**
     * The endpoint list in discovery's format, for a member that has none; empty if this proxy may
     * not share its list.
     */
    byte[] endpointList();

    /** The limits of the whole fleet are now divided among this number of proxies. */
    void proxyCountChanged(int proxies);

    /** Most members of this member's zone cannot reach the node. */
    void nodeSuspected(long node);

    /** Checks the health of a node; the check is due and assigned to this member. */
    void probe(long node);

    /** A view was published; this happens several times per second. */
    void viewPublished(MembershipView view);
}

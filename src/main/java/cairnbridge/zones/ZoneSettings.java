package cairnbridge.zones;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.zones.plan.PlannerSettings;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * The settings in the table {@code zones} of the fleet file.
 *
 * @param consensus whether voters agree on plans; if false, each member applies the plans that it
 *     computes itself from gossip, as a baseline for comparison
 * @param voters the members that vote on plans; must be the same list at every member
 * @param stateFile the file in which a voter persists its acceptor state
 * @param nodeRequestsPerSecond the requests a second that a node of size one serves after its slow
 *     start
 * @param regions region by zone
 * @param planner the limits for the steps of plans
 * @param reroutedShare if a proxy cannot reach a zone, the share of the requests for that zone that
 *     it sends to other zones until a plan moves the traffic; it sheds the rest
 */
public record ZoneSettings(
        boolean consensus,
        List<MemberId> voters,
        Path stateFile,
        double nodeRequestsPerSecond,
        Map<String, String> regions,
        PlannerSettings planner,
        double reroutedShare) {
    /** Whether a member votes on plans. */
    public boolean isVoter(MemberId member) {
        return consensus && voters.contains(member);
    }
}

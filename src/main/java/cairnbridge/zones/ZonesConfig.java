package cairnbridge.zones;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.zones.plan.PlanSettings;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * The table zones of a fleet's file.
 *
 * @param agreed false: each member plans by itself from the same gossip, for comparison
 * @param voters the members that confirm plans, the same list everywhere
 * @param state where a voter keeps what it has promised
 * @param nodeRate ops a second that a warm node of size one bears
 * @param regions region by zone
 * @param alonePart of the traffic for a zone out of one's own reach, what goes elsewhere before the
 *     plan follows
 */
public record ZonesConfig(
        boolean agreed,
        List<MemberId> voters,
        Path state,
        double nodeRate,
        Map<String, String> regions,
        PlanSettings plan,
        double alonePart) {
    /** Whether this member confirms plans. */
    public boolean votes(MemberId me) {
        return agreed && voters.contains(me);
    }
}

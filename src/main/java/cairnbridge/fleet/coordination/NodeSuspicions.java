package cairnbridge.fleet.coordination;

import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.membership.MembershipView;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Nodes that most members of a zone cannot reach. Each node is reported once, and again only after
 * the share of members that cannot reach it has been below a quarter.
 */
public final class NodeSuspicions {
    /** Minimum number of members with an opinion; fewer cannot make a node suspect. */
    private static final int MIN_MEMBERS = 3;

    private final String zone;
    private final Set<Long> reported = new HashSet<>();

    /** Creates the suspicions of the members of one zone. */
    public NodeSuspicions(String zone) {
        this.zone = zone;
    }

    /** The ids of nodes that have become suspect since the last call. */
    public List<Long> newSuspicions(MembershipView view) {
        int members = 0;
        Map<Long, Integer> reporters = new HashMap<>();
        for (MemberState member : view.liveMembers()) {
            if (hasOpinion(member)) {
                members++;
                for (long node : Set.copyOf(unreachableNodes(member))) {
                    reporters.merge(node, 1, Integer::sum);
                }
            }
        }
        return update(reporters, members);
    }

    private boolean hasOpinion(MemberState member) {
        return member.isInZone(zone)
                && member.metadata().lifecycle() != MemberMetadata.Lifecycle.STARTING;
    }

    private static List<Long> unreachableNodes(MemberState member) {
        return member.metadata().metrics().reachability().unreachableNodes();
    }

    private List<Long> update(Map<Long, Integer> reporters, int members) {
        reported.removeIf(node -> reporters.getOrDefault(node, 0) * 4 < members);
        List<Long> suspected = new ArrayList<>();
        reporters.forEach(
                (node, count) -> {
                    boolean majority = members >= MIN_MEMBERS && count * 2 > members;
                    if (majority && reported.add(node)) {
                        suspected.add(node);
                    }
                });
        return suspected;
    }
}

package cairnbridge.fleet.use;

import cairnbridge.decision.Mix;
import cairnbridge.fleet.member.Claim;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.Told;
import cairnbridge.fleet.view.View;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Who of a zone does what only one needs to do: the living member with the highest hash of name and
 * duty (rendezvous hashing, Thaler and Ravishankar 1998). All who hold the same view name the same
 * one; when it is no longer held alive the next takes over, and nobody else's duties move. Times
 * are tenths of a millisecond.
 */
public final class Duties {
    private final MemberId me;
    private final String zone;
    private final long every;
    private final Map<Long, Long> probedAt = new HashMap<>();

    /** every: how often a node is to be probed by the one whose duty it is. */
    public Duties(MemberId me, String zone, long every) {
        this.me = me;
        this.zone = zone;
        this.every = every;
    }

    /** Members of the zone that can take on duties, those first who come first for this one. */
    public static List<MemberId> order(View view, String zone, long duty) {
        return view.living().stream()
                .filter(claim -> isOf(claim, zone))
                .map(Claim::id)
                .sorted(
                        Comparator.comparingLong((MemberId id) -> weight(id, duty))
                                .reversed()
                                .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    private static boolean isOf(Claim claim, String zone) {
        Told told = claim.told();
        return told != null
                && told.zone().equals(zone)
                && (told.state() == Told.State.SERVING || told.state() == Told.State.STANDBY);
    }

    private static long weight(MemberId id, long duty) {
        return Mix.of(id.name().hashCode(), duty);
    }

    /**
     * The nodes to be probed now, out of all. Guards against a node probed twice as often where two
     * members hold different views: one that was another's until now waits its time first.
     */
    public List<Long> due(View view, List<Long> nodes, long now) {
        probedAt.keySet().retainAll(nodes);
        List<Long> due = new ArrayList<>();
        for (long node : nodes) {
            List<MemberId> order = order(view, zone, node);
            if (order.isEmpty() || !order.get(0).equals(me)) {
                probedAt.remove(node);
            } else if (now - probedAt.computeIfAbsent(node, id -> now) >= every) {
                probedAt.put(node, now);
                due.add(node);
            }
        }
        return due;
    }
}

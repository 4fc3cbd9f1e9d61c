package cairnbridge.recovery;

import cairnbridge.store.Kept;
import java.util.List;

/**
 * What of a state kept on the disk is used, each with its age and the reason, for staff to read.
 *
 * @param held nodes that staff had taken out
 * @param life no life of this member may have a number up to this one
 * @param epochFloor no plan over zones of a lower epoch may come into force
 * @param rosterVersion of the list in roster, 0 where there is none to be used
 * @param roster a first guess, JSON
 * @param ask members to ask after the seeds, those who lived first
 * @param peers how many members lived, the own one left out
 * @param trust whether what was learnt of the nodes may be used; that fades by its own time
 * @param lines one an item
 */
public record Trusted(
        List<Long> held,
        long life,
        long epochFloor,
        long rosterVersion,
        String roster,
        List<Kept.Peer> ask,
        int peers,
        boolean trust,
        List<String> lines) {
    public Trusted {
        held = List.copyOf(held);
        ask = List.copyOf(ask);
        lines = List.copyOf(lines);
    }
}

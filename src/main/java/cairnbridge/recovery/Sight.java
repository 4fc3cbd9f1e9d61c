package cairnbridge.recovery;

import java.util.List;

/**
 * What a proxy sees of its fleet, oneself left out.
 *
 * @param others members that live
 * @param me this member's name
 */
public record Sight(String me, List<Seen> others) {
    public Sight {
        others = List.copyOf(others);
    }

    /**
     * One member. phase is null for one that has nothing to recover from or is done; pace: ops that it lets
     * be on their way to the origin at once; roster: the version of its list, listing: whether discovery is
     * there for it.
     */
    public record Seen(String id, String zone, Phase phase, boolean serves, int pace, long roster,
                       boolean listing) {
        /** Whether it never lost what it knows, or has it again. */
        boolean isWhole() {
            return phase == null && serves;
        }

        boolean returns() {
            return phase != null;
        }
    }
}

package cairnbridge.recovery;

import java.util.List;

/** What a proxy sees of its fleet: members that live, oneself left out. */
public record Sight(List<Seen> others) {
    public Sight {
        others = List.copyOf(others);
    }

    /**
     * One member. phase is null for one that has nothing to recover from or is done; serves: whether it takes
     * ops; pace: ops that it lets be on their way to the origin at once; roster: the version of its list.
     */
    public record Seen(String id, String zone, Phase phase, boolean serves, int pace, long roster) {
        /** Whether it never lost what it knows, or has it again. */
        boolean isWhole() {
            return phase == null && serves;
        }

        boolean returns() {
            return phase != null;
        }
    }
}

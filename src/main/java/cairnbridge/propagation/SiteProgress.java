package cairnbridge.propagation;

import java.util.List;

/**
 * The positions that members of a site have in force. Members are encoded as bits, see {@link
 * MemberLocation#slot}, so that a member reported by two relays counts once.
 *
 * @param steps members by position, in descending order of position; each bit is set in at most one
 *     step
 */
public record SiteProgress(String site, List<Step> steps) {
    private static final int HEADER_BYTES = 2;
    private static final int STEP_BYTES = 13;

    /** The members that have at least this position in force. */
    public record Step(Position position, long members) {}

    /** Makes an immutable copy of the list. */
    public SiteProgress {
        steps = List.copyOf(steps);
    }

    /** The encoded size in bytes. */
    int size() {
        return HEADER_BYTES + site.length() + STEP_BYTES * steps.size();
    }
}

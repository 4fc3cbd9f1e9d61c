package cairnbridge.propagation;

import cairnbridge.fleet.member.MemberId;
import java.util.List;

/**
 * The members that have a change in force, according to the reports that reached the publisher.
 *
 * @param position the position of the change
 * @param inForce the number of members that have this change or a later one in force
 * @param expected the number of members in the fleet
 * @param missing members not reported to have it in force, at most {@link #MAX_NAMES}
 * @param rejections rejections of the change that were reported; reports are truncated, so some may
 *     be absent
 */
public record Coverage(
        Position position,
        int inForce,
        int expected,
        List<MemberId> missing,
        List<Rejection> rejections) {
    /** The maximum size of {@link #missing}. */
    public static final int MAX_NAMES = 32;

    /** Makes immutable copies of the lists. */
    public Coverage {
        missing = List.copyOf(missing);
        rejections = List.copyOf(rejections);
    }

    /** Whether every member has the change in force. */
    public boolean isComplete() {
        return inForce == expected;
    }
}

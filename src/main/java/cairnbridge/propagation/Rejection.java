package cairnbridge.propagation;

import cairnbridge.fleet.member.MemberId;

/**
 * A member's rejection of a change; the member keeps its previous change in force.
 *
 * @param member the member that rejected the change
 * @param position the position of the rejected change
 * @param reason why the member rejected it, truncated to {@link #MAX_REASON_LENGTH} characters
 */
public record Rejection(MemberId member, Position position, String reason) {
    /** The maximum length of a reason. */
    public static final int MAX_REASON_LENGTH = 120;

    private static final int POSITION_BYTES = 9;

    /** Truncates the reason. */
    public Rejection {
        reason =
                reason.length() > MAX_REASON_LENGTH
                        ? reason.substring(0, MAX_REASON_LENGTH)
                        : reason;
    }

    /** The encoded size in bytes. */
    int size() {
        return POSITION_BYTES + member.name().length() + reason.length();
    }
}

package cairnbridge.propagation;

import cairnbridge.fleet.member.MemberId;

/**
 * A member has turned a change down and stays on what it had.
 *
 * @param member who
 * @param position which change
 * @param reason why, cut to {@link #MAXIMUM_REASON} characters
 */
public record Refusal(MemberId member, Position position, String reason) {
    public static final int MAXIMUM_REASON = 120;
    private static final int POSITION_BYTES = 9;

    public Refusal {
        reason = reason.length() > MAXIMUM_REASON ? reason.substring(0, MAXIMUM_REASON) : reason;
    }

    /** The size on the wire. */
    int size() {
        return POSITION_BYTES + member.name().length() + reason.length();
    }
}

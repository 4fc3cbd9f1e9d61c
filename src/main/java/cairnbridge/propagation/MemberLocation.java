package cairnbridge.propagation;

import cairnbridge.fleet.member.MemberId;

/**
 * The region and site of a member, and its slot in the site's progress bit set.
 *
 * @param slot its number within its site, unique there and unchanged while the member belongs to
 *     the site
 */
public record MemberLocation(MemberId member, String region, String site, int slot) {
    /** The maximum number of members of a site, which are reported as the bits of one long. */
    public static final int SLOTS = Long.SIZE;

    /** Requires the slot to be within the range of the bit set. */
    public MemberLocation {
        if (slot < 0 || slot >= SLOTS) {
            throw new IllegalArgumentException("a slot must be at least 0 and below " + SLOTS);
        }
    }

    /** The member's bit in the progress of its site. */
    long bit() {
        return 1L << slot;
    }
}

package cairnbridge.propagation.simulated;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.propagation.MemberLocation;
import java.util.ArrayList;
import java.util.List;

/**
 * The size of a simulated fleet; members are assigned to sites, and sites to regions, in turn.
 *
 * @param controls the number of control machines
 */
public record FleetLayout(int members, int sites, int regions, int controls) {
    /** The share of sites and regions that 1,800 members at 140 sites in 11 regions have. */
    private static final double MEMBERS_PER_SITE = 1_800 / 140.0;

    private static final int MAX_REGIONS = 11;
    private static final int DEFAULT_CONTROLS = 7;

    /** Checks the counts. */
    public FleetLayout {
        if (members < sites || sites < regions || regions < 1 || controls < 1) {
            throw new IllegalArgumentException("a site has a member, a region has a site");
        }
        if ((members + sites - 1) / sites > MemberLocation.SLOTS) {
            throw new IllegalArgumentException("a site has at most " + MemberLocation.SLOTS);
        }
    }

    /**
     * A fleet with as many sites and regions as a fleet of that size has, and seven control
     * machines.
     */
    public static FleetLayout of(int members) {
        int sites = Math.max(1, (int) Math.round(members / MEMBERS_PER_SITE));
        return new FleetLayout(members, sites, Math.min(MAX_REGIONS, sites), DEFAULT_CONTROLS);
    }

    List<MemberLocation> locations() {
        List<MemberLocation> placements = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            int site = i % sites;
            placements.add(
                    new MemberLocation(
                            new MemberId("m" + i), "r" + site % regions, "s" + site, i / sites));
        }
        return placements;
    }

    List<MemberId> controlIds() {
        List<MemberId> ids = new ArrayList<>();
        for (int i = 0; i < controls; i++) {
            ids.add(new MemberId("control" + i));
        }
        return ids;
    }
}

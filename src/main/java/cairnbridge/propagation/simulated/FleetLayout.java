package cairnbridge.propagation.simulated;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.propagation.MemberLocation;
import java.util.ArrayList;
import java.util.List;

/**
 * The size of a simulated fleet. Members are assigned to sites, and sites to regions, round-robin.
 *
 * @param controls the number of control machines
 */
public record FleetLayout(int members, int sites, int regions, int controls) {
    /** The ratio in a fleet of 1,800 members at 140 sites, which lie in 11 regions. */
    private static final double MEMBERS_PER_SITE = 1_800 / 140.0;

    private static final int MAX_REGIONS = 11;
    private static final int DEFAULT_CONTROLS = 7;

    /**
     * Requires at least one member per site, one site per region, one region and one control
     * machine, and no more members per site than slots.
     */
    public FleetLayout {
        if (members < sites || sites < regions || regions < 1 || controls < 1) {
            throw new IllegalArgumentException(
                    "each site needs a member, each region a site, each fleet a control machine");
        }
        if ((members + sites - 1) / sites > MemberLocation.SLOTS) {
            throw new IllegalArgumentException(
                    "too many members per site, the maximum is " + MemberLocation.SLOTS);
        }
    }

    /**
     * Creates a layout with seven control machines and a number of sites in proportion to the
     * members, in at most 11 regions.
     */
    public static FleetLayout of(int members) {
        int sites = Math.max(1, (int) Math.round(members / MEMBERS_PER_SITE));
        return new FleetLayout(members, sites, Math.min(MAX_REGIONS, sites), DEFAULT_CONTROLS);
    }

    List<MemberLocation> locations() {
        List<MemberLocation> locations = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            int site = i % sites;
            locations.add(
                    new MemberLocation(
                            new MemberId("m" + i), "r" + site % regions, "s" + site, i / sites));
        }
        return locations;
    }

    List<MemberId> controlIds() {
        List<MemberId> ids = new ArrayList<>();
        for (int i = 0; i < controls; i++) {
            ids.add(new MemberId("control" + i));
        }
        return ids;
    }
}

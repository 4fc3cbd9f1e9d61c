package cairnbridge.scale.control;

import cairnbridge.fleet.member.MemberId;

/**
 * Where a hollow proxy stands: its name says its site.
 *
 * @param number its place in the fleet, from 0
 */
record MemberIdentity(int number, MemberId id, String zone, String region) {
    private static final int SITES = 140;
    private static final int ZONES = 40;
    private static final int REGIONS = 11;

    /** Members are spread evenly over sites, sites over zones and zones over regions. */
    static MemberIdentity of(int number) {
        int site = number % SITES;
        int zone = site % ZONES;
        int region = zone % REGIONS;
        MemberId id = new MemberId("s" + site + "-p" + number);
        return new MemberIdentity(number, id, "z" + zone, "r" + region);
    }
}

package cairnbridge.propagation;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.hash.Fnv1a;
import cairnbridge.hash.SplitMix64;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Assigns the candidate parents: region relays subscribe to control machines, site relays to region
 * relays, other members to site relays. Control machines are the last candidates of every member.
 * Relays are chosen by rendezvous hashing (Thaler and Ravishankar 1998), so that a member that
 * joins or leaves changes the candidates of few others.
 *
 * <p>Each candidate ranks before its possible downstreams, so no cycle can form while all members
 * use the same assignment. With differing assignments a cycle is detected because its heartbeat
 * sequence numbers stop increasing.
 */
public final class RelayTree {
    /** The number of candidate relays of each site and region. */
    public static final int CANDIDATES = 3;

    private final List<MemberId> controls;
    private final Map<MemberId, MemberLocation> locations = new HashMap<>();
    private final Map<String, List<MemberId>> regionRelays = new HashMap<>();
    private final Map<String, List<MemberId>> siteRelays = new HashMap<>();

    /**
     * Chooses the relays of all regions and sites.
     *
     * @param controls all control machines
     * @param alive the members that are alive
     */
    public RelayTree(List<MemberId> controls, Collection<MemberLocation> alive) {
        this.controls = List.copyOf(controls);
        Map<String, List<MemberLocation>> regions = new TreeMap<>();
        Map<String, List<MemberLocation>> sites = new TreeMap<>();
        for (MemberLocation location : alive) {
            locations.put(location.member(), location);
            regions.computeIfAbsent(location.region(), region -> new ArrayList<>()).add(location);
            sites.computeIfAbsent(location.site(), site -> new ArrayList<>()).add(location);
        }
        regions.forEach(
                (region, members) -> regionRelays.put(region, chooseRegionRelays(region, members)));
        sites.forEach((site, members) -> siteRelays.put(site, chooseSiteRelays(site, members)));
    }

    /** The candidate parents of a member, the preferred one first. */
    public List<MemberId> parentsOf(MemberId member) {
        MemberLocation location = locations.get(member);
        List<MemberId> region = regionRelays.get(location.region());
        List<MemberId> site = siteRelays.get(location.site());
        List<MemberId> parents = new ArrayList<>();
        if (region.contains(member)) {
            parents.addAll(region.subList(0, region.indexOf(member)));
        } else if (site.contains(member)) {
            parents.addAll(site.subList(0, site.indexOf(member)));
            parents.addAll(region);
        } else {
            parents.addAll(site);
            parents.addAll(region);
        }
        parents.addAll(controlsFor(location.site()));
        return parents.stream().distinct().toList();
    }

    /** The control machines in the order in which the members of a site try them. */
    public List<MemberId> controlsFor(String site) {
        return controls.stream().sorted(byWeight(site)).toList();
    }

    /** The candidate relays of a region, the preferred one first. */
    public List<MemberId> relaysOfRegion(String region) {
        return regionRelays.get(region);
    }

    /** The candidate relays of a site, the preferred one first. */
    public List<MemberId> relaysOfSite(String site) {
        return siteRelays.get(site);
    }

    /**
     * Chooses relays at different sites if the region has enough sites, because a whole site can
     * lose power at once.
     */
    private static List<MemberId> chooseRegionRelays(String region, List<MemberLocation> members) {
        List<MemberLocation> sorted =
                members.stream()
                        .sorted(Comparator.comparing(MemberLocation::member, byWeight(region)))
                        .toList();
        List<MemberId> relays = new ArrayList<>();
        Set<String> sites = new HashSet<>();
        for (MemberLocation location : sorted) {
            if (relays.size() < CANDIDATES && sites.add(location.site())) {
                relays.add(location.member());
            }
        }
        for (MemberLocation location : sorted) {
            if (relays.size() < CANDIDATES && !relays.contains(location.member())) {
                relays.add(location.member());
            }
        }
        return List.copyOf(relays);
    }

    /** Prefers members that are not region relays, because those already have many downstreams. */
    private List<MemberId> chooseSiteRelays(String site, List<MemberLocation> members) {
        Comparator<MemberId> relaysLast =
                Comparator.comparing(
                        member ->
                                regionRelays.get(locations.get(member).region()).contains(member));
        return members.stream()
                .map(MemberLocation::member)
                .sorted(relaysLast.thenComparing(byWeight(site)))
                .limit(CANDIDATES)
                .toList();
    }

    private static Comparator<MemberId> byWeight(String scope) {
        long hash = Fnv1a.hash(scope);
        return Comparator.comparingLong(
                        (MemberId member) -> SplitMix64.mix(Fnv1a.hash(member.name()), hash))
                .reversed()
                .thenComparing(Comparator.naturalOrder());
    }
}

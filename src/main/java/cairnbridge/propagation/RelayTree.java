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
 * Assigns the candidates for parent: a region's relays ask the control machines, a site's relays
 * ask the region's, members ask the site's; where none of these helps, the control machines. Who is
 * relay is decided by rendezvous hashing (Thaler and Ravishankar 1998), so that a member that comes
 * or goes moves few of the others.
 *
 * <p>Each candidate ranks before those who may ask it, hence no cycle can come about as long as all
 * have the same assignment; with different ones a cycle shows by heartbeats that stand still.
 */
public final class RelayTree {
    /** Candidates of each site and region. */
    public static final int CANDIDATES = 3;

    private final List<MemberId> controls;
    private final Map<MemberId, MemberLocation> locations = new HashMap<>();
    private final Map<String, List<MemberId>> regionRelays = new HashMap<>();
    private final Map<String, List<MemberId>> siteRelays = new HashMap<>();

    /**
     * Computes the tree.
     *
     * @param controls all control machines
     * @param alive the members that are live
     */
    public RelayTree(List<MemberId> controls, Collection<MemberLocation> alive) {
        this.controls = List.copyOf(controls);
        Map<String, List<MemberLocation>> regions = new TreeMap<>();
        Map<String, List<MemberLocation>> sites = new TreeMap<>();
        for (MemberLocation place : alive) {
            locations.put(place.member(), place);
            regions.computeIfAbsent(place.region(), region -> new ArrayList<>()).add(place);
            sites.computeIfAbsent(place.site(), site -> new ArrayList<>()).add(place);
        }
        regions.forEach((region, places) -> regionRelays.put(region, chooseRegionRelays(region, places)));
        sites.forEach((site, places) -> siteRelays.put(site, chooseSiteRelays(site, places)));
    }

    /** The candidates for a member's parent, the best first. */
    public List<MemberId> parentsOf(MemberId member) {
        MemberLocation place = locations.get(member);
        List<MemberId> region = regionRelays.get(place.region());
        List<MemberId> site = siteRelays.get(place.site());
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
        parents.addAll(controlsFor(place.site()));
        return parents.stream().distinct().toList();
    }

    /** The control machines in the order in which a site's members ask them. */
    public List<MemberId> controlsFor(String site) {
        return controls.stream().sorted(byWeight(site)).toList();
    }

    /** The members that may become relay of a region, the first of them first. */
    public List<MemberId> relaysOfRegion(String region) {
        return regionRelays.get(region);
    }

    /** The members that may become relay of a site, the first of them first. */
    public List<MemberId> relaysOfSite(String site) {
        return siteRelays.get(site);
    }

    /** Of different sites where there are enough, as a site may lose its power as a whole. */
    private static List<MemberId> chooseRegionRelays(String region, List<MemberLocation> places) {
        List<MemberLocation> sorted =
                places.stream()
                        .sorted(Comparator.comparing(MemberLocation::member, byWeight(region)))
                        .toList();
        List<MemberId> relays = new ArrayList<>();
        Set<String> sites = new HashSet<>();
        for (MemberLocation place : sorted) {
            if (relays.size() < CANDIDATES && sites.add(place.site())) {
                relays.add(place.member());
            }
        }
        for (MemberLocation place : sorted) {
            if (relays.size() < CANDIDATES && !relays.contains(place.member())) {
                relays.add(place.member());
            }
        }
        return List.copyOf(relays);
    }

    /** Relays of the region come last, as they have enough to do. */
    private List<MemberId> chooseSiteRelays(String site, List<MemberLocation> places) {
        Comparator<MemberId> relaysLast =
                Comparator.comparing(
                        member ->
                                regionRelays.get(locations.get(member).region()).contains(member));
        return places.stream()
                .map(MemberLocation::member)
                .sorted(relaysLast.thenComparing(byWeight(site)))
                .limit(CANDIDATES)
                .toList();
    }

    private static Comparator<MemberId> byWeight(String duty) {
        long hash = Fnv1a.hash(duty);
        return Comparator.comparingLong(
                        (MemberId member) -> SplitMix64.mix(Fnv1a.hash(member.name()), hash))
                .reversed()
                .thenComparing(Comparator.naturalOrder());
    }
}

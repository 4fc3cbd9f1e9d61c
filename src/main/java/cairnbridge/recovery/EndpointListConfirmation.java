package cairnbridge.recovery;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Whether the endpoint list in use is confirmed: discovery has sent one that is no older than what
 * was known, a member that kept its state has no newer one, or a majority of members has none.
 */
final class EndpointListConfirmation {
    private final long staleTimeout;
    private final int expectedMembers;
    private long versionFloor;
    private long version;
    private long staleSince;
    private boolean fromDiscovery;
    private boolean discoveryIsStale;
    private boolean staleAccepted;
    private Optional<String> confirmedBy = Optional.empty();

    /**
     * Nothing is confirmed at first.
     *
     * @param floor the version that was known before the power loss
     * @param expectedMembers the members of the whole fleet
     * @param staleTimeout after this long an older list of discovery's is used
     */
    EndpointListConfirmation(long floor, int expectedMembers, long staleTimeout) {
        this.versionFloor = floor;
        this.expectedMembers = expectedMembers;
        this.staleTimeout = staleTimeout;
    }

    /** A list that did not come from discovery is in use. */
    void unconfirmedListUsed(long newVersion) {
        version = newVersion;
        fromDiscovery = false;
    }

    /** Discovery has sent a list; returns whether it is to be used. */
    boolean listReceived(long newVersion, long now) {
        if (newVersion < versionFloor && !staleAccepted) {
            if (!discoveryIsStale) {
                discoveryIsStale = true;
                staleSince = now;
            }
            return false;
        }
        discoveryIsStale = false;
        version = newVersion;
        fromDiscovery = true;
        confirm("discovery");
        return true;
    }

    private void confirm(String by) {
        if (confirmedBy.isEmpty()) {
            confirmedBy = Optional.of(by);
        }
    }

    /** Compares the list with those of other members. */
    void fleetChanged(FleetSnapshot fleet) {
        long newestOfFullState = newestOfFullState(fleet);
        long majorityVersion = majorityVersion(fleet);
        if (newestOfFullState > 0 && version >= newestOfFullState) {
            confirm("a member that kept its power");
        } else if (majorityVersion > 0 && version >= majorityVersion && version > 0) {
            confirm("a majority");
        }
        if (!isConfirmed()) {
            versionFloor = Math.max(versionFloor, Math.max(newestOfFullState, majorityVersion));
        }
    }

    private static long newestOfFullState(FleetSnapshot fleet) {
        return fleet.peers().stream()
                .filter(FleetSnapshot.Peer::hasFullState)
                .mapToLong(FleetSnapshot.Peer::endpointListVersion)
                .max()
                .orElse(-1);
    }

    /** The newest version that a majority of the fleet has at least; 0 without a majority. */
    private long majorityVersion(FleetSnapshot fleet) {
        List<Long> versions = new ArrayList<>();
        versions.add(version);
        fleet.peers().forEach(peer -> versions.add(peer.endpointListVersion()));
        versions.sort(Comparator.reverseOrder());
        int majority = expectedMembers / 2 + 1;
        return versions.size() >= majority ? versions.get(majority - 1) : 0;
    }

    /** The member to request a list from, if one has a newer one. */
    Optional<String> memberWithNewerList(FleetSnapshot fleet) {
        if (isConfirmed()) {
            return Optional.empty();
        }
        Comparator<FleetSnapshot.Peer> best =
                Comparator.comparing(FleetSnapshot.Peer::hasFullState)
                        .thenComparingLong(FleetSnapshot.Peer::endpointListVersion)
                        .thenComparing(FleetSnapshot.Peer::id);
        return fleet.peers().stream()
                .filter(peer -> peer.endpointListVersion() > version)
                .max(best)
                .map(FleetSnapshot.Peer::id);
    }

    /**
     * Whether an older list of discovery's is to be used from now on; true once. Guards against a
     * discovery that was restored from long ago, or counts anew, whose list would never be used.
     */
    boolean acceptStaleIfDue(long now) {
        if (!discoveryIsStale || staleAccepted || now - staleSince < staleTimeout) {
            return false;
        }
        staleAccepted = true;
        return true;
    }

    boolean hasList() {
        return version > 0 || fromDiscovery;
    }

    boolean isConfirmed() {
        return confirmedBy.isPresent();
    }

    /** Lists of discovery's below this version are not used. */
    long versionFloor() {
        return staleAccepted ? 0 : versionFloor;
    }

    /** As operators read it. */
    String status() {
        if (confirmedBy.isPresent()) {
            return "version " + version + ", confirmed by " + confirmedBy.get();
        }
        if (!hasList()) {
            return "none";
        }
        String stale = discoveryIsStale ? ", discovery has an older one" : "";
        return "version " + version + ", not confirmed" + stale;
    }
}

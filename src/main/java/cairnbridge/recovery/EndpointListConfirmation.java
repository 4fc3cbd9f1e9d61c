package cairnbridge.recovery;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Tracks whether the endpoint list in use is confirmed, that is, recent enough for requests that
 * must not run twice. A list is confirmed if discovery has sent it and no newer one was known
 * before, if no member with its full state has a newer one, or if a majority of the fleet has none.
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
     * Starts without a list.
     *
     * @param versionFloor the version of the list that was in use before the power loss
     * @param expectedMembers the number of members of the whole fleet, including this one
     * @param staleTimeout after this long a list from discovery is used even if it is older
     */
    EndpointListConfirmation(long versionFloor, int expectedMembers, long staleTimeout) {
        this.versionFloor = versionFloor;
        this.expectedMembers = expectedMembers;
        this.staleTimeout = staleTimeout;
    }

    /** Records the use of a list that did not come from discovery. */
    void unconfirmedListUsed(long newVersion) {
        version = newVersion;
        fromDiscovery = false;
    }

    /** Records a list from discovery; returns whether the list is to be used. */
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

    /** Compares the list in use with the lists of other members. */
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

    /** The highest version that a majority of the fleet has reached; 0 without a majority. */
    private long majorityVersion(FleetSnapshot fleet) {
        List<Long> versions = new ArrayList<>();
        versions.add(version);
        fleet.peers().forEach(peer -> versions.add(peer.endpointListVersion()));
        versions.sort(Comparator.reverseOrder());
        int majority = expectedMembers / 2 + 1;
        return versions.size() >= majority ? versions.get(majority - 1) : 0;
    }

    /** The member to request a newer list from; empty if there is none or none is needed. */
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
     * Returns true once, when discovery has sent only older lists for the whole timeout. Older
     * lists are used from then on. Guards against a discovery service that was restored from an old
     * backup, or counts versions from the start again: its lists would never be used.
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

    /** Lists from discovery below this version are not used. */
    long versionFloor() {
        return staleAccepted ? 0 : versionFloor;
    }

    /** The status of the list in log lines and in the answer of the admin call {@code recovery}. */
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

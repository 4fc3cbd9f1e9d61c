package cairnbridge.recovery;

import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.membership.MembershipView;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The other members of a proxy's fleet, at one point in time.
 *
 * @param peers the other live members whose metadata is known
 */
public record FleetSnapshot(List<Peer> peers) {
    /** Makes a defensive copy of {@code peers}. */
    public FleetSnapshot {
        peers = List.copyOf(peers);
    }

    /** Creates a snapshot of the other live members in a membership view. */
    public static FleetSnapshot of(MembershipView view) {
        List<Peer> peers = new ArrayList<>();
        for (MemberState member : view.liveMembers()) {
            if (!member.id().equals(view.self())) {
                member.knownMetadata().ifPresent(metadata -> peers.add(Peer.of(member, metadata)));
            }
        }
        return new FleetSnapshot(peers);
    }

    /** The number of live members whose metadata is known, including this one. */
    int size() {
        return peers.size() + 1;
    }

    /** How many of the other members serve and are not recovering. */
    long peersWithFullState() {
        return peers.stream().filter(Peer::hasFullState).count();
    }

    /**
     * Another member, as described by its metadata.
     *
     * @param id the name of the member
     * @param zone the zone of the member
     * @param phase the member's recovery phase; empty if the member is not recovering
     * @param isServing whether the member has started and is not stopping
     * @param originLimit the member's own limit of requests in flight to the origin
     * @param endpointListVersion the version of the endpoint list that the member uses
     */
    public record Peer(
            String id,
            String zone,
            Optional<RecoveryPhase> phase,
            boolean isServing,
            int originLimit,
            long endpointListVersion) {

        private static Peer of(MemberState member, MemberMetadata metadata) {
            return new Peer(
                    member.id().name(),
                    metadata.zone(),
                    RecoveryPhase.ofAnnounced(metadata.recovery().phase()),
                    metadata.isOperational(),
                    metadata.recovery().originLimit(),
                    metadata.metrics().endpointList().version());
        }

        /** Whether the member serves and either kept its state or has recovered it. */
        boolean hasFullState() {
            return phase.isEmpty() && isServing;
        }

        boolean isRecovering() {
            return phase.isPresent();
        }
    }
}

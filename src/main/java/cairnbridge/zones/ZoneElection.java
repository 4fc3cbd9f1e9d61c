package cairnbridge.zones;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.membership.MembershipView;
import java.util.List;
import java.util.Optional;

/**
 * Elects the proposer of plans: the first voter by name that is live and has finished its start.
 */
final class ZoneElection {
    private final List<MemberId> voters;

    ZoneElection(List<MemberId> voters) {
        this.voters = voters;
    }

    /** The proposer; empty if no voter is live and started. */
    Optional<MemberId> proposer(MembershipView view) {
        return voters.stream()
                .filter(voter -> isLive(view, voter) && hasStarted(view, voter))
                .sorted()
                .findFirst();
    }

    /** Whether a majority of the voters is live. */
    boolean hasMajority(MembershipView view) {
        long live = voters.stream().filter(voter -> isLive(view, voter)).count();
        return 2 * live > voters.size();
    }

    private static boolean isLive(MembershipView view, MemberId id) {
        return view.stateOf(id).filter(state -> state.status().isLive()).isPresent();
    }

    /** A member that is still starting has not received enough announcements to plan with. */
    private static boolean hasStarted(MembershipView view, MemberId id) {
        return view.stateOf(id)
                .flatMap(state -> state.knownMetadata())
                .filter(known -> known.lifecycle() != MemberMetadata.Lifecycle.STARTING)
                .isPresent();
    }
}

package cairnbridge.fleet.coordination;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.membership.MembershipView;

/**
 * Decides which members poll the discovery service while it does not answer. Guards against a
 * recovering discovery service that is overloaded by the polls of a whole fleet: some members of
 * each zone poll it; the others poll once a member of their zone receives the list, or after half a
 * minute.
 */
public final class DiscoveryPolling {
    /** Id of discovery polling in the rendezvous hash that ranks the members. */
    private static final long TASK = 0x6C697374L;

    /** Maximum time between two polls of a member, regardless of the others. */
    private static final long MAX_INTERVAL_MILLIS = 30_000;

    private static final int POLLING_MEMBERS = 3;

    private final MemberId self;
    private final String zone;

    /** Creates the polling decisions of one member in a zone. */
    public DiscoveryPolling(MemberId self, String zone) {
        this.self = self;
        this.zone = zone;
    }

    /** Whether this member may poll now, given the time since its last poll. */
    public boolean mayPoll(MembershipView view, long sinceLastPollMillis) {
        int rank = TaskAssignment.candidatesInOrder(view, zone, TASK).indexOf(self);
        // A member that is not a candidate has rank -1, and polls.
        if (rank < POLLING_MEMBERS || sinceLastPollMillis >= MAX_INTERVAL_MILLIS) {
            return true;
        }
        return view.liveMembers().stream().anyMatch(this::watchesListInSameZone);
    }

    private boolean watchesListInSameZone(MemberState member) {
        return !member.id().equals(self)
                && member.isInZone(zone)
                && member.metadata().metrics().endpointList().watching();
    }
}

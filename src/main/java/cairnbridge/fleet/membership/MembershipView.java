package cairnbridge.fleet.membership;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * An immutable snapshot of one member's view of the fleet, itself included. Thread-safe; the list
 * of live members and the index by id are built on first use.
 */
public final class MembershipView {
    private final MemberId self;
    private final List<MemberState> members;
    private final long digest;
    private final MembershipStatistics statistics;

    /** Several threads may compute these at the same time; the results are equal. */
    private volatile List<MemberState> liveMembers;

    private volatile Map<MemberId, MemberState> byId;

    /**
     * Creates a snapshot.
     *
     * @param self the member whose view this is
     * @param members the states of all known members, that one included
     * @param digest hash of the view; equal for equal contents
     * @param statistics the statistics of that member
     */
    public MembershipView(
            MemberId self,
            List<MemberState> members,
            long digest,
            MembershipStatistics statistics) {
        this.self = self;
        this.members = List.copyOf(members);
        this.digest = digest;
        this.statistics = statistics;
    }

    /** The member whose view this is. */
    public MemberId self() {
        return self;
    }

    /** All members, in no particular order. */
    public List<MemberState> members() {
        return members;
    }

    /** Hash of the view; equal for equal contents. */
    public long digest() {
        return digest;
    }

    /** The statistics of the member whose view this is. */
    public MembershipStatistics statistics() {
        return statistics;
    }

    /** The state of a member; empty if unknown. */
    public Optional<MemberState> stateOf(MemberId id) {
        Map<MemberId, MemberState> index = byId;
        if (index == null) {
            index = index();
            byId = index;
        }
        return Optional.ofNullable(index.get(id));
    }

    private Map<MemberId, MemberState> index() {
        Map<MemberId, MemberState> index = new HashMap<>(2 * members.size());
        for (MemberState member : members) {
            index.putIfAbsent(member.id(), member);
        }
        return index;
    }

    /** The members that are alive or suspect, the local one included unless it has left. */
    public List<MemberState> liveMembers() {
        List<MemberState> cached = liveMembers;
        if (cached == null) {
            cached = members.stream().filter(member -> member.status().isLive()).toList();
            liveMembers = cached;
        }
        return cached;
    }

    /** The number of members with this status. */
    public int count(MemberStatus status) {
        return (int) members.stream().filter(member -> member.status() == status).count();
    }
}

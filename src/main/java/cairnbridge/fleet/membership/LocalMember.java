package cairnbridge.fleet.membership;

import cairnbridge.fleet.member.Incarnation;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import cairnbridge.fleet.member.Message;
import java.util.List;

/** This member's own state, and its refutations of what other members state about it. */
final class LocalMember {
    /**
     * Number of statements with another endpoint after which a second process with this member's
     * name is reported.
     */
    private static final int CONFLICTS_BEFORE_WARNING = 5;

    private final SwimContext context;
    private MemberState state;
    private int nameConflicts;

    LocalMember(MemberState state, SwimContext context) {
        this.state = state;
        this.context = context;
    }

    MemberId id() {
        return state.id();
    }

    MemberState state() {
        return state;
    }

    boolean hasLeft() {
        return state.status() == MemberStatus.LEFT;
    }

    /** Announces changed metrics, with lower priority than status changes. */
    void announceMetrics(MemberMetadata metadata) {
        state = state.withMetadata(state.metadataVersion() + 1, metadata);
        context.gossipQueue.addMetadata(state);
    }

    /** Announces changed metadata with the priority of a status change. */
    void announce(MemberMetadata metadata) {
        state = state.withMetadata(state.metadataVersion() + 1, metadata);
        context.gossipQueue.addStatus(state);
    }

    /** Leaves the fleet and sends the announcement to some members at once. */
    void leave() {
        if (hasLeft()) {
            return;
        }
        state = state.withStatus(state.incarnation().next(), MemberStatus.LEFT, null);
        MemberState announcement = state.withoutMetadata();
        context.gossipQueue.addStatus(announcement);
        int receivers = 2 * context.settings.fanout();
        for (MemberRecord member : context.table.randomLive(receivers, context.random)) {
            context.host.send(
                    member.state.endpoint(),
                    context.packet(new Message.Gossip(List.of(announcement))));
        }
    }

    /** Refutes a statement about this member if it would supersede this member's own state. */
    void refute(MemberState statement) {
        if (hasLeft() || !contradicts(statement)) {
            return;
        }
        warnOfNameConflict(statement);
        Incarnation newIncarnation = state.incarnation().superseding(statement.incarnation());
        state = state.withStatus(newIncarnation, MemberStatus.ALIVE, null);
        context.counters.refutations++;
        context.localHealth.adjust(1);
        context.gossipQueue.addStatus(state);
    }

    private boolean contradicts(MemberState statement) {
        int order = statement.incarnation().compareTo(state.incarnation());
        return statement.status() == MemberStatus.ALIVE ? order > 0 : order >= 0;
    }

    private void warnOfNameConflict(MemberState statement) {
        boolean conflict =
                statement.status() == MemberStatus.ALIVE
                        && !statement.endpoint().equals(state.endpoint());
        if (conflict && nameConflicts < CONFLICTS_BEFORE_WARNING) {
            nameConflicts++;
            if (nameConflicts == CONFLICTS_BEFORE_WARNING) {
                context.host.log(
                        "another process, at "
                                + statement.endpoint()
                                + ", uses the member name "
                                + id()
                                + " as well");
            }
        }
    }
}

package cairnbridge.fleet.membership;

import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.Message;
import cairnbridge.time.Ticks;
import java.util.List;

/** Sends pending updates to random live members, and to a recently dead one, at intervals. */
final class GossipDissemination {
    /**
     * Members declared dead within this time still receive gossip, so that they can refute their
     * death.
     */
    private static final long RECENTLY_DEAD = 5 * Ticks.SECOND;

    private final SwimContext context;

    GossipDissemination(SwimContext context) {
        this.context = context;
    }

    void start() {
        context.schedule(context.randomDelay(context.settings.gossipInterval()), this::gossip);
    }

    private void gossip() {
        context.schedule(context.settings.gossipInterval(), this::gossip);
        if (context.gossipQueue.isEmpty()) {
            return;
        }
        for (MemberRecord receiver : receivers()) {
            List<MemberState> updates = context.updatesFor(receiver);
            if (updates.isEmpty()) {
                return;
            }
            context.host.send(
                    receiver.state.endpoint(), context.packet(new Message.Gossip(updates)));
        }
    }

    private List<MemberRecord> receivers() {
        List<MemberRecord> receivers =
                context.table.randomLive(context.settings.fanout(), context.random);
        List<MemberRecord> dead = context.table.dead();
        if (!dead.isEmpty()) {
            MemberRecord candidate = dead.get(context.random.nextInt(dead.size()));
            if (context.now() - candidate.statusChangedAt < RECENTLY_DEAD) {
                receivers.add(candidate);
            }
        }
        return receivers;
    }
}

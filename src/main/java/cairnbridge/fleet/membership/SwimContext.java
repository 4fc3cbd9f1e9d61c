package cairnbridge.fleet.membership;

import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import cairnbridge.fleet.member.Message;
import cairnbridge.fleet.member.Packet;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * State shared by the components of the membership protocol: settings, clock, timers, table and
 * queues.
 */
final class SwimContext {
    final SwimSettings settings;
    final MembershipHost host;
    final RandomGenerator random;
    final TimerQueue timers = new TimerQueue();
    final MemberTable table;
    final GossipQueue gossipQueue = new GossipQueue();
    final LocalHealth localHealth = new LocalHealth();
    final MembershipCounters counters = new MembershipCounters();
    final LocalMember self;
    private long now;
    private long statusChangedAt;

    SwimContext(SwimSettings settings, MemberState self, long seed, long now, MembershipHost host) {
        this.settings = settings;
        this.host = host;
        this.now = now;
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        table = new MemberTable(settings.maxMembers());
        this.self = new LocalMember(self, this);
    }

    long now() {
        return now;
    }

    /** Advances the clock; an earlier time than the current one is ignored. */
    void advanceTo(long time) {
        now = Math.max(now, time);
    }

    /** Runs an action after a delay. */
    void schedule(long delay, Runnable action) {
        timers.schedule(now + delay, action);
    }

    /** A random delay between 1 and the bound, inclusive. */
    long randomDelay(long bound) {
        return 1 + random.nextLong(bound);
    }

    /** Records that the status of a member has changed now. */
    void markStatusChanged() {
        statusChangedAt = now;
    }

    /** Time since a member's status last changed. */
    long stableFor() {
        return now - statusChangedAt;
    }

    /** Number of live members, this one included unless it has left. */
    int liveCountWithSelf() {
        return table.live().size() + (self.hasLeft() ? 0 : 1);
    }

    /** Hash of the whole view, this member included. */
    long viewDigest() {
        return table.digest() ^ MemberDigest.of(self.state());
    }

    /** Wraps a message in a packet with this member's id, endpoint, incarnation and view digest. */
    Packet packet(Message message) {
        MemberState own = self.state();
        return new Packet(own.id(), own.endpoint(), own.incarnation(), viewDigest(), message);
    }

    /**
     * Updates for a message to a member: first the receiver's recorded state unless it is alive, so
     * that the receiver can refute it, then as many pending updates as fit.
     */
    List<MemberState> updatesFor(MemberRecord receiver) {
        return receiver == null || receiver.state.status() == MemberStatus.ALIVE
                ? pendingUpdates()
                : gossipQueue.take(
                        receiver.state.withoutMetadata(), maxUpdateBytes(), maxTransmissions());
    }

    /** As many pending updates as fit into a message. */
    List<MemberState> pendingUpdates() {
        return gossipQueue.take(maxUpdateBytes(), maxTransmissions());
    }

    private int maxUpdateBytes() {
        return settings.maxDatagramBytes() - Packet.MAX_HEADER_BYTES;
    }

    /** Number of times each update is sent. */
    private int maxTransmissions() {
        int digits = (int) Math.ceil(Math.log10(liveCountWithSelf() + 1.0));
        return settings.retransmitMultiplier() * digits;
    }
}

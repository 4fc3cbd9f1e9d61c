package cairnbridge.fleet.membership;

import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import cairnbridge.fleet.member.Message;
import cairnbridge.fleet.member.Packet;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** What the parts of the membership protocol share: settings, time, table and queues. */
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

    /** Moves the clock on; it never goes back. */
    void advanceTo(long clock) {
        now = Math.max(now, clock);
    }

    /** Runs an action after a delay. */
    void schedule(long delay, Runnable action) {
        timers.schedule(now + delay, action);
    }

    /** A random delay from 1 to the bound. */
    long randomDelay(long bound) {
        return 1 + random.nextLong(bound);
    }

    /** Notes that the status of some member has changed now. */
    void markStatusChanged() {
        statusChangedAt = now;
    }

    /** For how long no member's status has changed. */
    long stableFor() {
        return now - statusChangedAt;
    }

    /** How many members are live, this one included unless it has left. */
    int liveCountWithSelf() {
        return table.live().size() + (self.hasLeft() ? 0 : 1);
    }

    /** A hash of the whole view, this member included. */
    long viewDigest() {
        return table.digest() ^ MemberDigest.of(self.state());
    }

    /** A message with what this member states about itself. */
    Packet packet(Message message) {
        MemberState own = self.state();
        return new Packet(own.id(), own.endpoint(), own.incarnation(), viewDigest(), message);
    }

    /**
     * Updates for a message to a member: first what is said about the receiver unless that is well,
     * then as many pending ones as fit.
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

    /** How often each update is sent. */
    private int maxTransmissions() {
        int digits = (int) Math.ceil(Math.log10(liveCountWithSelf() + 1.0));
        return settings.retransmitMultiplier() * digits;
    }
}

package cairnbridge.fleet.membership;

import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import cairnbridge.fleet.member.Message;
import cairnbridge.fleet.member.Packet;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The membership protocol of one member, as a state machine. Call {@link #start} once, {@link
 * #handle} for every event and {@link #fireTimers} whenever {@link #nextTimer} is due. The protocol
 * responds with calls on its host before these methods return. The package description names the
 * protocol and its sources.
 */
public final class SwimProtocol {
    /**
     * The process counts as paused if the protocol is not called for more than this many probe
     * intervals while a timer is due.
     */
    private static final int PAUSE_INTERVALS = 2;

    /** Number of members with which the view is compared after a pause. */
    private static final int COMPARISONS_AFTER_PAUSE = 2;

    private final SwimContext context;
    private final FailureDetector failureDetector;
    private final SuspicionTracker suspicions;
    private final AntiEntropy antiEntropy;
    private final JoinProcedure joinProcedure;
    private final MessageHandler messageHandler;
    private final MetadataAnnouncer announcer;
    private long lastCalledAt;
    private boolean started;

    /**
     * The contacts through which a member joins.
     *
     * @param seeds configured endpoints of members
     * @param remembered endpoints of members known from an earlier run, called after the seeds
     */
    public record Contacts(List<Endpoint> seeds, List<Endpoint> remembered) {
        /** Contacts without remembered members. */
        public static Contacts seeds(List<Endpoint> seeds) {
            return new Contacts(seeds, List.of());
        }
    }

    /**
     * Creates a protocol that is inactive until {@link #start}.
     *
     * @param self this member's initial state
     * @param seed the seed of all random choices
     */
    public SwimProtocol(
            SwimSettings settings,
            MemberState self,
            Contacts contacts,
            long seed,
            long now,
            MembershipHost host) {
        context = new SwimContext(settings, self, seed, now, host);
        failureDetector = new FailureDetector(context);
        suspicions = new SuspicionTracker(context, failureDetector);
        antiEntropy = new AntiEntropy(context);
        MemberUpdates updates =
                new MemberUpdates(context, suspicions, failureDetector, antiEntropy);
        failureDetector.setSuspicionTracker(suspicions);
        antiEntropy.setMemberUpdates(updates);
        joinProcedure =
                new JoinProcedure(context, antiEntropy, contacts.seeds(), contacts.remembered());
        messageHandler = new MessageHandler(context, updates, failureDetector, antiEntropy);
        announcer = new MetadataAnnouncer(context);
    }

    /** Starts the protocol, which then joins the fleet through its contacts. */
    public void start(long now) {
        context.advanceTo(now);
        lastCalledAt = context.now();
        context.markStatusChanged();
        started = true;
        new GossipDissemination(context).start();
        new MemberExpiry(context).start();
        failureDetector.start();
        joinProcedure.start();
    }

    /** Handles an event. */
    public void handle(long now, MembershipEvent event) {
        advanceTo(now);
        if (event instanceof MembershipEvent.PacketReceived received) {
            messageHandler.packetReceived(received.packet());
        } else if (event instanceof MembershipEvent.CallReceived call) {
            messageHandler.callReceived(call);
        } else if (event instanceof MembershipEvent.CallCompleted completed) {
            callCompleted(completed);
        } else if (event instanceof MembershipEvent.MetadataChanged changed) {
            announcer.announce(changed.metadata());
        } else if (event instanceof MembershipEvent.LeaveRequested) {
            context.self.leave();
        }
    }

    private void callCompleted(MembershipEvent.CallCompleted completed) {
        Packet answer = completed.packet();
        if (answer != null) {
            messageHandler.identifyAnswerer(answer);
        }
        antiEntropy.callCompleted(completed.callId(), answer);
        failureDetector.callCompleted(completed.callId(), answer);
    }

    /** Runs all timers that are due. */
    public void fireTimers(long now) {
        advanceTo(now);
        while (context.timers.runNext(context.now())) {
            lastCalledAt = context.now();
        }
    }

    /** When {@link #fireTimers} is due next; {@code Long.MAX_VALUE} if no timer is pending. */
    public long nextTimer() {
        return context.timers.nextDue();
    }

    /**
     * Guards against a resumed process that takes the silence during its own pause for the death of
     * all other members.
     */
    private void advanceTo(long now) {
        context.advanceTo(now);
        long pause = context.now() - lastCalledAt;
        lastCalledAt = context.now();
        boolean timersMissed = context.timers.nextDue() < context.now();
        if (started && pause > PAUSE_INTERVALS * context.settings.probeInterval() && timersMissed) {
            resumeAfter(pause);
        }
    }

    private void resumeAfter(long pause) {
        context.counters.pauses++;
        context.localHealth.setWorst();
        failureDetector.abandonProbes();
        suspicions.extendAllBy(pause);
        antiEntropy.compareWithRandom(COMPARISONS_AFTER_PAUSE);
    }

    /** Wraps a message in a packet with this member's id, endpoint, incarnation and view digest. */
    public Packet packet(Message message) {
        return context.packet(message);
    }

    /** A snapshot of the view. */
    public MembershipView view() {
        MemberState self = context.self.state();
        List<MemberState> members = new ArrayList<>(context.table.all().size() + 1);
        members.add(self);
        context.table.all().forEach(member -> members.add(member.state));
        return new MembershipView(self.id(), members, context.viewDigest(), statistics());
    }

    /** The current state of the view, and event counts. */
    public MembershipStatistics statistics() {
        return new MembershipStatistics(
                countMembers(),
                context.counters.snapshot(),
                context.localHealth.score(),
                context.gossipQueue.size(),
                context.stableFor());
    }

    private MembershipStatistics.Members countMembers() {
        int alive = context.self.hasLeft() ? 0 : 1;
        int suspect = 0;
        int left = context.self.hasLeft() ? 1 : 0;
        for (MemberRecord member : context.table.all()) {
            MemberStatus status = member.state.status();
            alive += status == MemberStatus.ALIVE ? 1 : 0;
            suspect += status == MemberStatus.SUSPECT ? 1 : 0;
            left += status == MemberStatus.LEFT ? 1 : 0;
        }
        return new MembershipStatistics.Members(alive, suspect, context.table.dead().size(), left);
    }

    /** Number of live members, this one included unless it has left. */
    public int liveCount() {
        return context.liveCountWithSelf();
    }

    /** Number of member states that wait for dissemination. */
    public int pendingUpdates() {
        return context.gossipQueue.size();
    }

    /**
     * Whether the view of another member has been received, or there is no contact to join through.
     */
    public boolean hasJoined() {
        return antiEntropy.hasJoined();
    }

    /** This member's own state. */
    public MemberState self() {
        return context.self.state();
    }

    /** The state of a member, this one included; empty if unknown. */
    public Optional<MemberState> stateOf(MemberId id) {
        if (id.equals(context.self.id())) {
            return Optional.of(context.self.state());
        }
        return Optional.ofNullable(context.table.get(id)).map(member -> member.state);
    }
}

package cairnbridge.fleet.membership;

import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import cairnbridge.fleet.member.Message;
import cairnbridge.fleet.member.Packet;
import cairnbridge.time.Ticks;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Compares whole views with other members: at intervals, when a member returns, and when another's
 * digest differs for long. Only the partitions that differ are exchanged, both ways.
 */
final class AntiEntropy {
    /**
     * The interval grows with every doubling of the fleet beyond this size (as in memberlist's
     * pushPullScale).
     */
    private static final int SMALL_FLEET = 32;

    /** A digest that differs for so long, with nothing new meanwhile, was missed by gossip. */
    private static final long MIN_STABLE_TIME = 3 * Ticks.SECOND;

    /** Between two comparisons that this member begins. */
    private static final long MIN_COMPARISON_INTERVAL = Ticks.SECOND / 5;

    /** After a member has returned a comparison begins within this time. */
    private static final int MAX_DELAY_AFTER_RETURN = 3_000;

    /** A newcomer compares this often, each time after twice the time. */
    private static final int JOIN_COMPARISONS = 4;

    private static final long FIRST_JOIN_COMPARISON_DELAY = Ticks.SECOND;

    /** Ids of calls begin here, apart from those of the failure detector. */
    private static final long FIRST_CALL_ID = 1L << 62;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final SwimContext context;

    /** Calls under way, and to whom. */
    private final Map<Long, Endpoint> pendingCalls = new HashMap<>();

    private MemberUpdates updates;
    private long lastCallId = FIRST_CALL_ID;
    private long startedAt;
    private long lastComparisonAt = NEVER;
    private long lastMatchAt;
    private boolean joined;
    private boolean comparisonScheduled;

    AntiEntropy(SwimContext context) {
        this.context = context;
    }

    /** Connects the two parts that need one another; before the start. */
    void setMemberUpdates(MemberUpdates memberUpdates) {
        updates = memberUpdates;
    }

    /**
     * Begins.
     *
     * @param alone whether there is nobody to join
     */
    void start(boolean alone) {
        startedAt = context.now();
        joined = alone;
    }

    /** Starts the comparisons at intervals. */
    void startPeriodicComparisons() {
        context.schedule(randomInterval(), this::comparePeriodically);
    }

    /** Starts the further comparisons of a newcomer. */
    void startJoinComparisons() {
        scheduleJoinComparison(1, FIRST_JOIN_COMPARISON_DELAY);
    }

    /**
     * Guards against a fleet that starts all at once, whose updates about one another would take
     * their turns for tens of seconds: whoever came before was not there yet when its first call
     * was answered.
     */
    private void scheduleJoinComparison(int count, long delay) {
        context.schedule(
                delay / 2 + context.random.nextLong(delay),
                () -> {
                    compareWithRandom(1);
                    if (count < JOIN_COMPARISONS) {
                        scheduleJoinComparison(count + 1, 2 * delay);
                    }
                });
    }

    /** For how long this process has run. */
    long uptime() {
        return context.now() - startedAt;
    }

    /** Whether the view of another member has been received, or there is nobody to ask. */
    boolean hasJoined() {
        return joined;
    }

    private long randomInterval() {
        double size = Math.max(1, (double) context.liveCountWithSelf() / SMALL_FLEET);
        double doublings = Math.ceil(Math.log(size) / Math.log(2));
        long mean = (long) (context.settings.antiEntropyInterval() * (1 + doublings));
        return mean / 2 + context.randomDelay(mean);
    }

    private void comparePeriodically() {
        context.schedule(randomInterval(), this::comparePeriodically);
        compareWithRandom(1);
    }

    /** Compares with live members chosen at random. */
    void compareWithRandom(int members) {
        context.table
                .randomLive(members, context.random)
                .forEach(member -> compareWith(member.state.endpoint()));
    }

    /** A member has returned, and with it perhaps a part of the fleet. */
    void compareSoon(MemberRecord member) {
        if (!comparisonScheduled) {
            comparisonScheduled = true;
            context.schedule(
                    context.randomDelay(MAX_DELAY_AFTER_RETURN),
                    () -> {
                        comparisonScheduled = false;
                        compareWith(member.state.endpoint());
                    });
        }
    }

    /** Guards against views that differ until the next interval though all has been passed on. */
    void digestReceived(MemberRecord sender, long digest) {
        boolean same = digest == 0 || digest == context.viewDigest();
        if (same || context.stableFor() < MIN_STABLE_TIME) {
            lastMatchAt = context.now();
        } else if (context.now() - lastMatchAt > MIN_STABLE_TIME && context.now() - lastComparisonAt > MIN_STABLE_TIME) {
            compareWith(sender.state.endpoint());
        }
    }

    /** Sends the digests of this view, unless that was done a moment ago. */
    void compareWith(Endpoint endpoint) {
        boolean tooSoon = joined && context.now() - lastComparisonAt < MIN_COMPARISON_INTERVAL;
        if (context.self.hasLeft() || tooSoon) {
            return;
        }
        lastComparisonAt = context.now();
        context.counters.stateExchanges++;
        long callId = ++lastCallId;
        pendingCalls.put(callId, endpoint);
        Message digest = new Message.Digest(partitionHashes());
        context.host.call(callId, endpoint, context.packet(digest));
    }

    private List<Long> partitionHashes() {
        List<Long> hashes = new ArrayList<>(MemberDigest.PARTITIONS);
        for (int i = 0; i < MemberDigest.PARTITIONS; i++) {
            hashes.add(context.table.partitionDigest(i));
        }
        MemberState self = context.self.state();
        int own = MemberDigest.partitionOf(self.id());
        hashes.set(own, hashes.get(own) ^ MemberDigest.withMetadataVersion(self));
        return hashes;
    }

    /**
     * What is held in the partitions that differ from another's; empty if the digest is malformed.
     *
     * @param caller null if this member has no room for it
     */
    Optional<Message> compare(Message.Digest digest, MemberRecord caller) {
        if (digest.partitionHashes().size() != MemberDigest.PARTITIONS) {
            return Optional.empty();
        }
        List<Integer> differing = differingPartitions(digest.partitionHashes());
        List<MemberState> states = statesIn(differing);
        if (caller != null
                && !differing.contains(MemberDigest.partitionOf(caller.id))
                && caller.state.status() != MemberStatus.ALIVE) {
            states.add(caller.state.withoutMetadata());
        }
        return Optional.of(new Message.StateTransfer(differing, states));
    }

    private List<Integer> differingPartitions(List<Long> theirs) {
        List<Long> own = partitionHashes();
        List<Integer> differing = new ArrayList<>();
        for (int i = 0; i < MemberDigest.PARTITIONS; i++) {
            if (!own.get(i).equals(theirs.get(i))) {
                differing.add(i);
            }
        }
        return differing;
    }

    private List<MemberState> statesIn(List<Integer> partitions) {
        BitSet wanted = new BitSet(MemberDigest.PARTITIONS);
        partitions.stream()
                .filter(partition -> partition >= 0 && partition < MemberDigest.PARTITIONS)
                .forEach(wanted::set);
        List<MemberState> states = new ArrayList<>();
        if (wanted.isEmpty()) {
            return states; // The usual case, and the table may be long.
        }
        if (wanted.get(MemberDigest.partitionOf(context.self.id()))) {
            states.add(context.self.state());
        }
        for (MemberRecord member : context.table.all()) {
            if (member.inDigest && wanted.get(MemberDigest.partitionOf(member.id))) {
                states.add(member.state);
            }
        }
        return states;
    }

    /** Handles the end of a call; those that are no comparisons change nothing. */
    void callCompleted(long callId, Packet answer) {
        Endpoint endpoint = pendingCalls.remove(callId);
        if (endpoint == null
                || answer == null
                || !(answer.message() instanceof Message.StateTransfer transfer)) {
            return;
        }
        List<MemberState> news = statesMissingFrom(transfer);
        updates.applyAll(transfer.updates(), MemberUpdates.Source.STATE_TRANSFER);
        joined = true;
        if (!news.isEmpty()) {
            // Nothing depends on the answer, so that the id is not kept.
            Message push = new Message.StateTransfer(List.of(), news);
            context.host.call(++lastCallId, endpoint, context.packet(push));
        }
    }

    /** What this member holds in the partitions of a transfer and its sender does not. */
    private List<MemberState> statesMissingFrom(Message.StateTransfer transfer) {
        Map<MemberId, MemberState> theirs = new HashMap<>();
        transfer.updates().forEach(state -> theirs.put(state.id(), state));
        List<MemberState> news = new ArrayList<>();
        for (MemberState own : statesIn(transfer.partitions())) {
            MemberState their = theirs.get(own.id());
            if (their == null || own.supersedes(their) || own.hasNewerMetadataThan(their)) {
                news.add(own);
            }
        }
        return news;
    }
}

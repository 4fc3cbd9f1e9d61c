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
 * Exchanges whole views with other members (push-pull): at intervals, after a member returns, and
 * when the view digest in another member's messages keeps differing. Only the partitions whose
 * hashes differ are exchanged, in both directions.
 */
final class AntiEntropy {
    /**
     * Fleet size up to which the interval stays at its minimum. Every doubling beyond it adds the
     * minimum once more (as in memberlist's pushPullScale).
     */
    private static final int SMALL_FLEET = 32;

    /**
     * A digest that differs for this long while no member's status changes indicates an update that
     * gossip failed to deliver.
     */
    private static final long MIN_STABLE_TIME = 3 * Ticks.SECOND;

    /** Minimum time between two comparisons that this member starts. */
    private static final long MIN_COMPARISON_INTERVAL = Ticks.SECOND / 5;

    /** Maximum delay of the comparison that follows the return of a member, in ticks. */
    private static final int MAX_DELAY_AFTER_RETURN = 3_000;

    /** Number of extra comparisons after joining; the delay before each is twice the one before. */
    private static final int JOIN_COMPARISONS = 4;

    private static final long FIRST_JOIN_COMPARISON_DELAY = Ticks.SECOND;

    /** Start of the call ids used here; disjoint from the ids of the failure detector. */
    private static final long FIRST_CALL_ID = 1L << 62;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final SwimContext context;

    /** Endpoints of the pending comparison calls, by call id. */
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

    /**
     * Sets the component that applies received states. Called once before {@link #start}, because
     * the two components refer to each other.
     */
    void setMemberUpdates(MemberUpdates memberUpdates) {
        updates = memberUpdates;
    }

    /**
     * Records the start time.
     *
     * @param noContacts whether there is no contact to join through
     */
    void start(boolean noContacts) {
        startedAt = context.now();
        joined = noContacts;
    }

    /** Starts the periodic comparisons. */
    void startPeriodicComparisons() {
        context.schedule(randomInterval(), this::comparePeriodically);
    }

    /** Starts the extra comparisons of a member that joins. */
    void startJoinComparisons() {
        scheduleJoinComparison(1, FIRST_JOIN_COMPARISON_DELAY);
    }

    /**
     * Guards against slow convergence of a fleet that starts all at once: the contact that answers
     * the first call does not know the members that join after it, and gossip alone would take tens
     * of seconds to deliver all updates.
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

    /** Time since the protocol was started. */
    long uptime() {
        return context.now() - startedAt;
    }

    /**
     * Whether the view of another member has been received, or there is no contact to join through.
     */
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

    /** Starts comparisons with up to this many random live members. */
    void compareWithRandom(int members) {
        context.table
                .randomLive(members, context.random)
                .forEach(member -> compareWith(member.state.endpoint()));
    }

    /**
     * Schedules a comparison with a member that has returned; other members of a healed partition
     * may have returned with it.
     */
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

    /**
     * Guards against views that stay different until the next periodic comparison although no
     * updates are pending: starts a comparison once the digests have differed for too long.
     */
    void digestReceived(MemberRecord sender, long digest) {
        boolean same = digest == 0 || digest == context.viewDigest();
        if (same || context.stableFor() < MIN_STABLE_TIME) {
            lastMatchAt = context.now();
        } else if (context.now() - lastMatchAt > MIN_STABLE_TIME
                && context.now() - lastComparisonAt > MIN_STABLE_TIME) {
            compareWith(sender.state.endpoint());
        }
    }

    /**
     * Calls a member with the partition hashes of this view, unless a comparison was started a
     * moment ago.
     */
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
     * Returns the states in the partitions whose hashes differ from the caller's; empty if the
     * digest is malformed.
     *
     * @param caller null if the table has no room for the caller
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
            return states; // Usually no partition differs; this avoids a scan of the table.
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

    /** Handles the end of a call; ignores calls that are not comparisons. */
    void callCompleted(long callId, Packet answer) {
        Endpoint endpoint = pendingCalls.remove(callId);
        if (endpoint == null
                || answer == null
                || !(answer.message() instanceof Message.StateTransfer transfer)) {
            return;
        }
        List<MemberState> missing = statesMissingFrom(transfer);
        updates.applyAll(transfer.updates(), MemberUpdates.Source.STATE_TRANSFER);
        joined = true;
        if (!missing.isEmpty()) {
            // The answer is not needed, so the call id is not stored.
            Message reply = new Message.StateTransfer(List.of(), missing);
            context.host.call(++lastCallId, endpoint, context.packet(reply));
        }
    }

    /**
     * Returns the states in the partitions of a transfer that its sender lacks or has only in an
     * older version.
     */
    private List<MemberState> statesMissingFrom(Message.StateTransfer transfer) {
        Map<MemberId, MemberState> theirs = new HashMap<>();
        transfer.updates().forEach(state -> theirs.put(state.id(), state));
        List<MemberState> missing = new ArrayList<>();
        for (MemberState own : statesIn(transfer.partitions())) {
            MemberState theirState = theirs.get(own.id());
            if (theirState == null
                    || own.supersedes(theirState)
                    || own.hasNewerMetadataThan(theirState)) {
                missing.add(own);
            }
        }
        return missing;
    }
}

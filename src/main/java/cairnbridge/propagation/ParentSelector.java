package cairnbridge.propagation;

import cairnbridge.fleet.member.MemberId;
import java.util.List;

/**
 * Selects the parent from an ordered list of candidates. The parent is replaced when it is silent,
 * when it has been cut off from the publisher for too long, or when it rejects the subscription.
 * The next candidate in the list is tried then; after the last, the first.
 */
final class ParentSelector {
    private static final int UNKNOWN_HOPS = Integer.MAX_VALUE;

    /** The number of subscription attempts to a candidate that does not answer. */
    private static final int SUBSCRIPTION_ATTEMPTS = 3;

    private final PropagationSettings settings;
    private List<MemberId> candidates;
    private int index;
    private long chosenAt;
    private long lastHeardAt;
    private long subscribedAt;
    private long preferredAt;
    private boolean answered;
    private int parentHops = UNKNOWN_HOPS;
    private long heartbeatEpoch;
    private long sequence = -1;
    private long heartbeatAdvancedAt;

    ParentSelector(PropagationSettings settings, List<MemberId> candidates, long now) {
        this.settings = settings;
        this.candidates = List.copyOf(candidates);
        heartbeatAdvancedAt = now;
        choose(0, now);
    }

    private void choose(int next, long now) {
        index = next;
        chosenAt = now;
        lastHeardAt = now;
        subscribedAt = now;
        preferredAt = now;
        answered = false;
        parentHops = UNKNOWN_HOPS;
    }

    boolean isEmpty() {
        return candidates.isEmpty();
    }

    MemberId parent() {
        return candidates.get(index);
    }

    MemberId preferred() {
        return candidates.get(0);
    }

    boolean isCandidate(MemberId id) {
        return candidates.contains(id);
    }

    /** Replaces the candidates; keeps the parent if the new list contains it. */
    void replace(List<MemberId> newCandidates, long now) {
        MemberId parent = isEmpty() ? null : parent();
        candidates = List.copyOf(newCandidates);
        int keptIndex = candidates.indexOf(parent);
        if (keptIndex >= 0) {
            index = keptIndex;
        } else {
            choose(0, now);
        }
    }

    /**
     * Handles a heartbeat of a candidate; returns whether the candidate becomes the parent because
     * of it.
     */
    boolean handleHeartbeat(MemberId from, Message.Heartbeat heartbeat, long now) {
        boolean isCurrent = isCurrent(heartbeat);
        if (isNewer(heartbeat)) {
            heartbeatEpoch = heartbeat.epoch();
            sequence = heartbeat.sequence();
            heartbeatAdvancedAt = now;
        }
        if (from.equals(parent())) {
            lastHeardAt = now;
            answered = true;
            parentHops = heartbeat.hops();
            return false;
        }
        boolean isBetter = candidates.indexOf(from) < index || heartbeat.hops() == 0;
        if (!isCurrent || !isBetter || parentHops == 0) {
            return false;
        }
        choose(candidates.indexOf(from), now);
        answered = true;
        parentHops = heartbeat.hops();
        return true;
    }

    /**
     * Guards against switching to a candidate that was frozen or is cut off from the publisher and
     * therefore sends outdated heartbeats.
     */
    private boolean isCurrent(Message.Heartbeat heartbeat) {
        return heartbeat.epoch() > heartbeatEpoch
                || (heartbeat.epoch() == heartbeatEpoch && heartbeat.sequence() >= sequence - 1);
    }

    private boolean isNewer(Message.Heartbeat heartbeat) {
        return heartbeat.epoch() > heartbeatEpoch
                || (heartbeat.epoch() == heartbeatEpoch && heartbeat.sequence() > sequence);
    }

    /** The number of the publisher's newest heartbeat seen in the current epoch, or 0. */
    long sequence() {
        return Math.max(0, sequence);
    }

    /** Whether the parent must be replaced. */
    boolean isLost(long now) {
        return now >= lossDeadline();
    }

    private long lossDeadline() {
        long detachedSince = Math.max(heartbeatAdvancedAt, chosenAt);
        return Math.min(
                lastHeardAt + silenceTimeout(),
                detachedSince + settings.heartbeat().detachedTimeout());
    }

    /**
     * The silence tolerated before the parent is replaced: shorter for a candidate that has never
     * answered than for a parent that has.
     */
    private long silenceTimeout() {
        return answered
                ? settings.heartbeat().parentTimeout()
                : Math.min(
                        settings.heartbeat().parentTimeout(),
                        SUBSCRIPTION_ATTEMPTS * settings.heartbeat().subscribeTimeout());
    }

    /** Handles a rejected subscription: the next candidate is tried after one subscribe timeout. */
    void handleRejection(long now) {
        answered = true;
        lastHeardAt =
                now
                        + settings.heartbeat().subscribeTimeout()
                        - settings.heartbeat().parentTimeout();
    }

    void chooseNext(long now) {
        choose((index + 1) % candidates.size(), now);
    }

    /**
     * Whether the subscription has to be sent again because it was not answered. Returning true
     * restarts the subscribe timeout.
     */
    boolean isSubscriptionDue(long now) {
        if (answered || now < subscribedAt + settings.heartbeat().subscribeTimeout()) {
            return false;
        }
        subscribedAt = now;
        return true;
    }

    /**
     * Whether to send a report to the first candidate now because another one is the parent.
     * Returning true restarts the interval.
     */
    boolean isPreferredDue(long now) {
        if (index == 0
                || parentHops == 0
                || now < preferredAt + settings.heartbeat().preferredParentInterval()) {
            return false;
        }
        preferredAt = now;
        return true;
    }

    long due() {
        long due = lossDeadline();
        if (!answered) {
            due = Math.min(due, subscribedAt + settings.heartbeat().subscribeTimeout());
        }
        return index == 0 || parentHops == 0
                ? due
                : Math.min(due, preferredAt + settings.heartbeat().preferredParentInterval());
    }
}

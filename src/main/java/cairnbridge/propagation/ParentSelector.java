package cairnbridge.propagation;

import cairnbridge.fleet.member.MemberId;
import java.util.List;

/**
 * Which of the candidates is the parent now. One is given up when it is silent, when it is cut off
 * from the publisher for long, or when it rejects the downstream; the next one in the list follows,
 * after the last the first.
 */
final class ParentSelector {
    private static final int UNKNOWN_HOPS = Integer.MAX_VALUE;

    /** Subscriptions that one candidate is sent without an answer. */
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

    /** A new list; the parent is kept where it is in it. */
    void replace(List<MemberId> fresh, long now) {
        MemberId parent = isEmpty() ? null : parent();
        candidates = List.copyOf(fresh);
        int kept = candidates.indexOf(parent);
        if (kept >= 0) {
            index = kept;
        } else {
            choose(0, now);
        }
    }

    /** A candidate has sent a message; whether it takes the place of the parent by that. */
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

    /** Guards against going back to one that was frozen, or is cut off, and does not know it. */
    private boolean isCurrent(Message.Heartbeat heartbeat) {
        return heartbeat.epoch() > heartbeatEpoch
                || (heartbeat.epoch() == heartbeatEpoch && heartbeat.sequence() >= sequence - 1);
    }

    private boolean isNewer(Message.Heartbeat heartbeat) {
        return heartbeat.epoch() > heartbeatEpoch
                || (heartbeat.epoch() == heartbeatEpoch && heartbeat.sequence() > sequence);
    }

    /** The newest heartbeat of the publisher. */
    long sequence() {
        return Math.max(0, sequence);
    }

    /** Whether the parent has to be given up. */
    boolean isLost(long now) {
        return now >= lossDeadline();
    }

    private long lossDeadline() {
        long detachedSince = Math.max(heartbeatAdvancedAt, chosenAt);
        return Math.min(
                lastHeardAt + silenceTimeout(),
                detachedSince + settings.heartbeat().detachedTimeout());
    }

    /** A candidate that has never answered is given up sooner than a parent that falls silent. */
    private long silenceTimeout() {
        return answered
                ? settings.heartbeat().parentTimeout()
                : Math.min(
                        settings.heartbeat().parentTimeout(),
                        SUBSCRIPTION_ATTEMPTS * settings.heartbeat().subscribeTimeout());
    }

    /** The parent does not serve this downstream; the next one is asked a little later. */
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

    /** Whether a subscription has stayed without an answer; asked once for each. */
    boolean isSubscriptionDue(long now) {
        if (answered || now < subscribedAt + settings.heartbeat().subscribeTimeout()) {
            return false;
        }
        subscribedAt = now;
        return true;
    }

    /** Whether the first candidate is to be asked now, as the parent is another. */
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

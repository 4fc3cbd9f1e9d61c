package cairnbridge.propagation;

import cairnbridge.fleet.member.MemberId;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Forwards a log to the subscribed downstreams. Each downstream has a cursor into the log rather
 * than a queue, so that a slow or stopped downstream neither delays the others nor uses extra
 * memory.
 */
final class Downstreams {
    private final PropagationSettings settings;
    private final RetainedLog log;
    private final PropagationHost host;
    private final Map<MemberId, Downstream> downstreams = new LinkedHashMap<>();
    private long logTooShortRejections;

    /** Downstreams to serve in the next call of {@link #serve}, whether or not a timer is due. */
    private final Set<Downstream> ready = new LinkedHashSet<>();

    /**
     * The earliest due time of any downstream timer; a new change in the log is served before it.
     */
    private long due = Long.MAX_VALUE;

    private Position servedPosition = Position.NONE;
    private boolean servedForwarding;

    Downstreams(PropagationSettings settings, RetainedLog log, PropagationHost host) {
        this.settings = settings;
        this.log = log;
        this.host = host;
    }

    int size() {
        return downstreams.size();
    }

    /** How many subscriptions were rejected because the log no longer has the changes needed. */
    long logTooShortRejections() {
        return logTooShortRejections;
    }

    /** The maximum number of bytes in flight to a single downstream. */
    int maxInFlightBytes() {
        return downstreams.values().stream().mapToInt(Downstream::inFlightBytes).max().orElse(0);
    }

    /**
     * Handles a report, which also subscribes its sender; returns whether it changes the progress
     * or rejections to report upwards.
     */
    boolean handleReport(
            MemberId from, Message.Report report, Message.Heartbeat heartbeat, long now) {
        Downstream downstream = downstreams.get(from);
        if (downstream == null) {
            if (downstreams.size() >= settings.limits().downstreams()) {
                reject(from, Message.SubscriptionRejected.Reason.FULL, heartbeat);
                return false;
            }
            downstream = new Downstream(from, settings, now);
            downstreams.put(from, downstream);
        }
        boolean changed = downstream.handleReport(report, now);
        ready.add(downstream);
        if (log.isTooShortFor(downstream.acknowledged())) {
            logTooShortRejections++;
            remove(from);
            reject(from, Message.SubscriptionRejected.Reason.LOG_TOO_SHORT, heartbeat);
            return true;
        }
        return changed;
    }

    private void reject(
            MemberId to, Message.SubscriptionRejected.Reason reason, Message.Heartbeat heartbeat) {
        host.send(to, new Message.SubscriptionRejected(heartbeat.epoch(), reason));
    }

    /** Removes a downstream; returns whether it was subscribed. */
    boolean remove(MemberId id) {
        Downstream removed = downstreams.remove(id);
        ready.remove(removed);
        return removed != null;
    }

    /** Removes downstreams that exceeded the downstream timeout; returns whether there were any. */
    boolean dropSilent(long now) {
        if (now < due) {
            return false;
        }
        ready.removeIf(downstream -> now >= downstream.dropDue());
        return downstreams.values().removeIf(downstream -> now >= downstream.dropDue());
    }

    /**
     * Serves the downstreams that are ready, or all of them if a timer is due or the log has grown:
     * retransmits lost changes, sends new changes if forwarding is allowed, and sends due
     * heartbeats.
     */
    void serve(Message.Heartbeat heartbeat, boolean canForward, long now) {
        boolean isUpToDate = canForward == servedForwarding && servedPosition.equals(log.last());
        if (now >= due || !isUpToDate) {
            ready.addAll(downstreams.values());
            due = Long.MAX_VALUE;
            servedPosition = log.last();
            servedForwarding = canForward;
        }
        for (Downstream downstream : ready) {
            serve(downstream, heartbeat, canForward, now);
            due = Math.min(due, dueOf(downstream, canForward));
        }
        ready.clear();
    }

    private void serve(
            Downstream downstream, Message.Heartbeat heartbeat, boolean canForward, long now) {
        downstream.rewindOnTimeout(now);
        FragmentBatch batch =
                new FragmentBatch(
                        settings.limits().messageBytes(),
                        fragments ->
                                send(downstream, new Message.Changes(heartbeat, fragments), now));
        repair(downstream, batch, now);
        if (canForward) {
            forwardNew(downstream, batch, now);
        }
        batch.flush();
        if (now >= downstream.heartbeatDue()) {
            send(downstream, new Message.KeepAlive(heartbeat), now);
        }
    }

    private void repair(Downstream downstream, FragmentBatch batch, long now) {
        Optional<Fragment> next = nextRepair(downstream);
        while (next.isPresent() && downstream.hasCredit(next.get().size(), now)) {
            batch.add(next.get());
            downstream.fragmentRepaired(next.get());
            next = nextRepair(downstream);
        }
    }

    private Optional<Fragment> nextRepair(Downstream downstream) {
        return log.after(downstream.repairedUpTo())
                .filter(downstream::needsRepair)
                .map(change -> fragment(change, 0))
                .filter(fragment -> fragment.count() == 1);
    }

    private void forwardNew(Downstream downstream, FragmentBatch batch, long now) {
        Optional<Fragment> next = next(downstream);
        while (next.isPresent() && downstream.canSend(next.get().size(), now)) {
            batch.add(next.get());
            downstream.fragmentSent(next.get(), now);
            next = next(downstream);
        }
    }

    private void send(Downstream downstream, Message message, long now) {
        downstream.frameSent(Message.FRAME_BYTES + Message.Heartbeat.BYTES, now);
        host.send(downstream.id, message);
    }

    /**
     * The next fragment for a downstream; empty if it is up to date or the log no longer has the
     * change that follows its position.
     */
    private Optional<Fragment> next(Downstream downstream) {
        return log.after(downstream.sentUpTo())
                .filter(change -> change.follows(downstream.sentUpTo()))
                .map(change -> fragment(change, downstream.nextFragment(change.position())));
    }

    private Fragment fragment(Change change, int index) {
        int maxPartBytes = settings.limits().messageBytes() - Fragment.HEADER_BYTES;
        byte[] body = change.body();
        int count = Math.max(1, (body.length + maxPartBytes - 1) / maxPartBytes);
        int from = Math.min(index, count - 1) * maxPartBytes;
        byte[] part = Arrays.copyOfRange(body, from, Math.min(body.length, from + maxPartBytes));
        return new Fragment(
                change.position(),
                change.previous(),
                change.superseding(),
                Math.min(index, count - 1),
                count,
                part);
    }

    /** The latest time for the next call of {@link #serve}. */
    long due() {
        return due;
    }

    private long dueOf(Downstream downstream, boolean canForward) {
        long first = Math.min(downstream.heartbeatDue(), downstream.dropDue());
        first = Math.min(first, downstream.retransmitDue());
        first = Math.min(first, repairDue(downstream));
        return canForward ? Math.min(first, forwardDue(downstream)) : first;
    }

    private long repairDue(Downstream downstream) {
        return nextRepair(downstream)
                .map(fragment -> downstream.creditAvailableAt(fragment.size()))
                .orElse(Long.MAX_VALUE);
    }

    private long forwardDue(Downstream downstream) {
        Optional<Fragment> next = next(downstream);
        if (next.isEmpty() || downstream.isWindowFull(next.get().size())) {
            return Long.MAX_VALUE;
        }
        return downstream.creditAvailableAt(next.get().size());
    }

    void addProgress(ProgressTable table, long now) {
        downstreams.values().forEach(downstream -> downstream.sites(now).forEach(table::add));
    }

    List<Rejection> rejections() {
        return downstreams.values().stream()
                .flatMap(downstream -> downstream.rejections().stream())
                .toList();
    }
}

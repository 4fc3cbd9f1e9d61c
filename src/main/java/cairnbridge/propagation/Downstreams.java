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
 * Passes a log on to those who subscribed. For each downstream there is a cursor into the log
 * rather than a queue, so that one that is slow or stopped delays no other and costs no memory.
 */
final class Downstreams {
    private final PropagationSettings settings;
    private final RetainedLog log;
    private final PropagationHost host;
    private final Map<MemberId, Downstream> downstreams = new LinkedHashMap<>();
    private long logTooShortRejections;

    /** Downstreams to be served at once, besides those whose timer is due. */
    private final Set<Downstream> ready = new LinkedHashSet<>();

    /** No downstream has to be served before, unless something new is to be passed on. */
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

    /** How often a downstream lacked changes that the log no longer has. */
    long logTooShortRejections() {
        return logTooShortRejections;
    }

    /** The most that is on its way to any downstream. */
    int maxInFlightBytes() {
        return downstreams.values().stream().mapToInt(Downstream::inFlightBytes).max().orElse(0);
    }

    /** Handles a report, which subscribes its sender; whether anything in it is new. */
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
        boolean news = downstream.handleReport(report, now);
        ready.add(downstream);
        if (log.isTooShortFor(downstream.acknowledged())) {
            logTooShortRejections++;
            remove(from);
            reject(from, Message.SubscriptionRejected.Reason.LOG_TOO_SHORT, heartbeat);
            return true;
        }
        return news;
    }

    private void reject(
            MemberId to, Message.SubscriptionRejected.Reason reason, Message.Heartbeat heartbeat) {
        host.send(to, new Message.SubscriptionRejected(heartbeat.epoch(), reason));
    }

    /** Whether it was one. */
    boolean remove(MemberId id) {
        Downstream removed = downstreams.remove(id);
        ready.remove(removed);
        return removed != null;
    }

    /** Drops those silent for too long; whether there were any. */
    boolean dropSilent(long now) {
        if (now < due) {
            return false;
        }
        ready.removeIf(downstream -> now >= downstream.dropDue());
        return downstreams.values().removeIf(downstream -> now >= downstream.dropDue());
    }

    /** Sends those downstreams whose time has come what they may get now, or a heartbeat. */
    void serve(Message.Heartbeat heartbeat, boolean passOn, long now) {
        boolean isAllServed = passOn == servedForwarding && servedPosition.equals(log.last());
        if (now >= due || !isAllServed) {
            ready.addAll(downstreams.values());
            due = Long.MAX_VALUE;
            servedPosition = log.last();
            servedForwarding = passOn;
        }
        for (Downstream downstream : ready) {
            serve(downstream, heartbeat, passOn, now);
            due = Math.min(due, dueOf(downstream, passOn));
        }
        ready.clear();
    }

    private void serve(
            Downstream downstream, Message.Heartbeat heartbeat, boolean passOn, long now) {
        downstream.rewindOnTimeout(now);
        FragmentBatch batch =
                new FragmentBatch(
                        settings.limits().messageBytes(),
                        fragments ->
                                send(downstream, new Message.Changes(heartbeat, fragments), now));
        repair(downstream, batch, now);
        if (passOn) {
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
     * The next fragment for a downstream; the log may have lost what it needs, then there is none.
     */
    private Optional<Fragment> next(Downstream downstream) {
        return log.after(downstream.sentUpTo())
                .filter(change -> change.follows(downstream.sentUpTo()))
                .map(change -> fragment(change, downstream.nextFragment(change.position())));
    }

    private Fragment fragment(Change change, int index) {
        int most = settings.limits().messageBytes() - Fragment.HEADER_BYTES;
        byte[] body = change.body();
        int count = Math.max(1, (body.length + most - 1) / most);
        int from = Math.min(index, count - 1) * most;
        byte[] part = Arrays.copyOfRange(body, from, Math.min(body.length, from + most));
        return new Fragment(
                change.position(),
                change.previous(),
                change.superseding(),
                Math.min(index, count - 1),
                count,
                part);
    }

    /** When {@link #serve} is to be called again at the latest. */
    long due() {
        return due;
    }

    private long dueOf(Downstream downstream, boolean passOn) {
        long first = Math.min(downstream.heartbeatDue(), downstream.dropDue());
        first = Math.min(first, downstream.retransmitDue());
        first = Math.min(first, repairDue(downstream));
        return passOn ? Math.min(first, forwardDue(downstream)) : first;
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

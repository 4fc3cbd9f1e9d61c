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
 * Passes a log on to those who subscribed. For each child there is a cursor into the log rather
 * than a queue, so that one that is slow or stopped delays no other and costs no memory.
 */
final class Children {
    private final PropagationSettings settings;
    private final RetainedLog log;
    private final PropagationHost host;
    private final Map<MemberId, Child> children = new LinkedHashMap<>();
    private long rejectedAsTooShort;

    /** Children to be served at once, beside those whose time has come. */
    private final Set<Child> awaited = new LinkedHashSet<>();

    /** No child has to be served before, unless something new is to be passed on. */
    private long due = Long.MAX_VALUE;

    private Position servedUpTo = Position.NONE;
    private boolean servedPassOn;

    Children(PropagationSettings settings, RetainedLog log, PropagationHost host) {
        this.settings = settings;
        this.log = log;
        this.host = host;
    }

    int size() {
        return children.size();
    }

    /** How often a child lacked changes that the log no longer has. */
    long rejectedAsTooShort() {
        return rejectedAsTooShort;
    }

    /** The most that is on its way to any child. */
    int mostOutstandingBytes() {
        return children.values().stream().mapToInt(Child::outstandingBytes).max().orElse(0);
    }

    /** Takes in a report, which subscribes its sender; whether anything in it is new. */
    boolean hear(MemberId from, Message.Report report, Message.Heartbeat heartbeat, long now) {
        Child child = children.get(from);
        if (child == null) {
            if (children.size() >= settings.children()) {
                reject(from, Message.Rejected.Reason.FULL, heartbeat);
                return false;
            }
            child = new Child(from, settings, now);
            children.put(from, child);
        }
        boolean news = child.hear(report, now);
        awaited.add(child);
        if (log.isTooShortFor(child.held())) {
            rejectedAsTooShort++;
            remove(from);
            reject(from, Message.Rejected.Reason.LOG_TOO_SHORT, heartbeat);
            return true;
        }
        return news;
    }

    private void reject(MemberId to, Message.Rejected.Reason reason, Message.Heartbeat heartbeat) {
        host.send(to, new Message.Rejected(heartbeat.epoch(), reason));
    }

    /** Whether it was one. */
    boolean remove(MemberId id) {
        Child removed = children.remove(id);
        awaited.remove(removed);
        return removed != null;
    }

    /** Drops those silent for too long; whether there were any. */
    boolean dropSilent(long now) {
        if (now < due) {
            return false;
        }
        awaited.removeIf(child -> now >= child.dropDue());
        return children.values().removeIf(child -> now >= child.dropDue());
    }

    /** Sends those children whose time has come what they may get now, or a heartbeat. */
    void serve(Message.Heartbeat heartbeat, boolean passOn, long now) {
        boolean isAllServed = passOn == servedPassOn && servedUpTo.equals(log.last());
        if (now >= due || !isAllServed) {
            awaited.addAll(children.values());
            due = Long.MAX_VALUE;
            servedUpTo = log.last();
            servedPassOn = passOn;
        }
        for (Child child : awaited) {
            serve(child, heartbeat, passOn, now);
            due = Math.min(due, dueOf(child, passOn));
        }
        awaited.clear();
    }

    private void serve(Child child, Message.Heartbeat heartbeat, boolean passOn, long now) {
        child.checkAcknowledged(now);
        PieceBatch batch =
                new PieceBatch(
                        settings.messageBytes(),
                        pieces -> send(child, new Message.Changes(heartbeat, pieces), now));
        repair(child, batch, now);
        if (passOn) {
            passOn(child, batch, now);
        }
        batch.flush();
        if (now >= child.beatDue()) {
            send(child, new Message.Beat(heartbeat), now);
        }
    }

    private void repair(Child child, PieceBatch batch, long now) {
        Optional<Piece> next = nextRepair(child);
        while (next.isPresent() && child.hasCredit(next.get().size(), now)) {
            batch.add(next.get());
            child.repaired(next.get());
            next = nextRepair(child);
        }
    }

    private Optional<Piece> nextRepair(Child child) {
        return log.after(child.repairedUpTo())
                .filter(child::needsRepair)
                .map(change -> piece(change, 0))
                .filter(piece -> piece.count() == 1);
    }

    private void passOn(Child child, PieceBatch batch, long now) {
        Optional<Piece> next = next(child);
        while (next.isPresent() && child.hasRoom(next.get().size(), now)) {
            batch.add(next.get());
            child.sent(next.get(), now);
            next = next(child);
        }
    }

    private void send(Child child, Message message, long now) {
        child.sentFrame(Message.FRAME_BYTES + Message.Heartbeat.BYTES, now);
        host.send(child.id, message);
    }

    /** The next piece for a child; the log may have lost what it needs, then there is none. */
    private Optional<Piece> next(Child child) {
        return log.after(child.sentUpTo())
                .filter(change -> change.follows(child.sentUpTo()))
                .map(change -> piece(change, child.nextPiece(change.position())));
    }

    private Piece piece(Change change, int index) {
        int most = settings.messageBytes() - Piece.HEADER_BYTES;
        byte[] body = change.body();
        int count = Math.max(1, (body.length + most - 1) / most);
        int from = Math.min(index, count - 1) * most;
        byte[] part = Arrays.copyOfRange(body, from, Math.min(body.length, from + most));
        return new Piece(
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

    private long dueOf(Child child, boolean passOn) {
        long first = Math.min(child.beatDue(), child.dropDue());
        first = Math.min(first, child.resendDue());
        first = Math.min(first, repairDue(child));
        return passOn ? Math.min(first, passOnDue(child)) : first;
    }

    private long repairDue(Child child) {
        return nextRepair(child).map(piece -> child.creditDue(piece.size())).orElse(Long.MAX_VALUE);
    }

    private long passOnDue(Child child) {
        Optional<Piece> next = next(child);
        if (next.isEmpty() || child.isWindowFull(next.get().size())) {
            return Long.MAX_VALUE;
        }
        return child.creditDue(next.get().size());
    }

    void addProgress(ProgressTable table, long now) {
        children.values().forEach(child -> child.sites(now).forEach(table::add));
    }

    List<Refusal> refusals() {
        return children.values().stream().flatMap(child -> child.refusals().stream()).toList();
    }
}

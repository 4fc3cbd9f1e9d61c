package cairnbridge.propagation;

import cairnbridge.fleet.member.MemberId;
import java.util.ArrayList;
import java.util.List;

/**
 * Publishes changes in order and knows at whom they are in force. Whoever starts one has to see to
 * it that its epoch is higher than that of any publisher started before; nothing here agrees on
 * that.
 *
 * <p>It stops for good as soon as it hears of a higher epoch, or of changes of its own epoch that
 * it does not know of.
 */
public final class Publisher {
    /** Whether it may publish. */
    public enum State {
        ACTIVE,
        /** There is a publisher of a higher epoch. */
        FENCED,
        /** Somebody holds changes of this epoch that are not in this source's log. */
        BEHIND
    }

    private final long epoch;
    private final List<MemberId> peers;
    private final List<MemberLocation> members;
    private final PropagationSettings settings;
    private final RetainedLog log;
    private final PropagationHost host;
    private final Downstreams downstreams;
    private State state = State.ACTIVE;
    private final ElapsedClock clock;
    private long now;
    private long heartbeat;
    private long nextHeartbeatAt;
    private long batchUntil;

    /**
     * One that goes on from a log.
     *
     * @param epoch higher than that of any publisher before
     * @param log of the subscriber that becomes the publisher, or an empty one
     * @param peers the other control machines, which are notified of it
     * @param members those at whom a change is to come into force
     */
    public Publisher(
            long epoch,
            RetainedLog log,
            List<MemberId> peers,
            List<MemberLocation> members,
            PropagationSettings settings,
            PropagationHost host,
            long time) {
        if (log.last().epoch() >= epoch) {
            throw new IllegalArgumentException("the log is of an epoch that is not lower");
        }
        this.epoch = epoch;
        this.log = log;
        this.peers = List.copyOf(peers);
        this.members = List.copyOf(members);
        this.settings = settings;
        this.host = host;
        clock = new ElapsedClock(time);
        downstreams = new Downstreams(settings, log, host);
        nextHeartbeatAt = now;
        batchUntil = now;
    }

    /** Whether it may publish. */
    public State state() {
        return state;
    }

    /** The newest change. */
    public Position last() {
        return log.last();
    }

    /** How many nodes are subscribed to it. */
    public int downstreams() {
        return downstreams.size();
    }

    /** The most that is on its way to any downstream, in bytes. */
    public int maxInFlightBytes() {
        return downstreams.maxInFlightBytes();
    }

    /**
     * How often somebody lacked changes that are no longer kept. Only a superseding change helps
     * them.
     */
    public long logTooShortRejections() {
        return downstreams.logTooShortRejections();
    }

    /**
     * Publishes a change.
     *
     * @param superseding whether it replaces all before it
     * @throws NotActiveException where this source was fenced off or is behind
     * @throws IllegalArgumentException where the body is larger than the settings allow
     */
    public Position publish(byte[] body, boolean superseding, long time) {
        advance(time);
        if (state != State.ACTIVE) {
            throw new NotActiveException("the source of epoch " + epoch + " is " + state);
        }
        if (body.length > settings.limits().changeBytes()) {
            throw new IllegalArgumentException(
                    "a change has at most " + settings.limits().changeBytes() + " bytes");
        }
        Position previous = log.last();
        Position position = new Position(epoch, previous.version() + 1);
        log.append(new Change(position, previous, superseding, body.clone()));
        if (now >= batchUntil) {
            batchUntil = now + settings.reports().batchDelay();
        }
        fireTimers(time);
        return position;
    }

    /** Handles a message. */
    public void handle(MemberId from, Message message, long time) {
        advance(time);
        if (message.epoch() > epoch) {
            state = State.FENCED;
        }
        if (message instanceof Message.Leave) {
            downstreams.remove(from);
        }
        if (message instanceof Message.Report report && state == State.ACTIVE) {
            if (report.receivedUpTo().isAfter(log.last()) && report.receivedUpTo().epoch() == epoch) {
                state = State.BEHIND;
            } else {
                downstreams.handleReport(from, report, heartbeat(), now);
            }
        }
        fireTimers(time);
    }

    private void advance(long time) {
        now = clock.advance(time);
    }

    private Message.Heartbeat heartbeat() {
        return new Message.Heartbeat(epoch, heartbeat, 0);
    }

    /** Does what is due now. */
    public void fireTimers(long time) {
        advance(time);
        if (state != State.ACTIVE) {
            return;
        }
        downstreams.dropSilent(now);
        if (now >= nextHeartbeatAt) {
            heartbeat++;
            nextHeartbeatAt = now + settings.heartbeat().interval();
            peers.forEach(peer -> host.send(peer, new Message.KeepAlive(heartbeat())));
        }
        downstreams.serve(heartbeat(), now >= batchUntil, now);
    }

    /** When {@link #fireTimers} is to be called next at the latest, by the caller's clock. */
    public long nextTimer() {
        return clock.clockTimeAt(elapsedDue());
    }

    private long elapsedDue() {
        if (state != State.ACTIVE) {
            return Long.MAX_VALUE;
        }
        long due = Math.min(nextHeartbeatAt, downstreams.due());
        return now < batchUntil ? Math.min(due, batchUntil) : due;
    }

    /** At whom a change is in force now, as far as is known here. */
    public Coverage coverage(Position position) {
        ProgressTable table = new ProgressTable();
        downstreams.addProgress(table, now);
        List<MemberId> missing = new ArrayList<>();
        int inForce = 0;
        for (MemberLocation member : members) {
            if ((table.membersAt(member.site(), position) & member.bit()) != 0) {
                inForce++;
            } else if (missing.size() < Coverage.MAX_NAMES) {
                missing.add(member.member());
            }
        }
        List<Rejection> rejections =
                downstreams.rejections().stream()
                        .filter(rejection -> rejection.position().equals(position))
                        .distinct()
                        .toList();
        return new Coverage(position, inForce, members.size(), missing, rejections);
    }
}

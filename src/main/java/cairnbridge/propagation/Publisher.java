package cairnbridge.propagation;

import cairnbridge.fleet.member.MemberId;
import java.util.ArrayList;
import java.util.List;

/**
 * Publishes changes in order and tracks at which members they are in force. The caller must ensure
 * that the epoch is higher than that of every publisher started before; this class does not
 * negotiate epochs.
 *
 * <p>A publisher stops permanently when it receives a message with a higher epoch, or a report of
 * changes of its own epoch that are not in its log.
 */
public final class Publisher {
    /** Whether the publisher is allowed to publish. */
    public enum State {
        ACTIVE,
        /** A message with a higher epoch has arrived: another publisher has replaced this one. */
        FENCED,
        /** A subscriber reports changes of this epoch that are not in this publisher's log. */
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
     * Creates a publisher that continues a log.
     *
     * @param epoch higher than that of any earlier publisher
     * @param log the log of the subscriber that becomes the publisher, or an empty log
     * @param peers the other control machines, which receive the publisher's heartbeats
     * @param members the members at which each change has to come into force
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
            throw new IllegalArgumentException(
                    "the epoch of the log must be lower than that of the publisher");
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

    /** Whether the publisher is allowed to publish. */
    public State state() {
        return state;
    }

    /** The position of the newest change. */
    public Position last() {
        return log.last();
    }

    /** The number of subscribed downstreams. */
    public int downstreams() {
        return downstreams.size();
    }

    /** The maximum number of bytes in flight to a single downstream. */
    public int maxInFlightBytes() {
        return downstreams.maxInFlightBytes();
    }

    /**
     * How many subscriptions were rejected because the log no longer has the changes needed. Such a
     * subscriber can continue only after the next superseding change.
     */
    public long logTooShortRejections() {
        return downstreams.logTooShortRejections();
    }

    /**
     * Publishes a change to all subscribed downstreams.
     *
     * @param superseding whether the change replaces all earlier ones
     * @throws NotActiveException if this publisher is fenced or behind
     * @throws IllegalArgumentException if the body is larger than the settings allow
     */
    public Position publish(byte[] body, boolean superseding, long time) {
        advance(time);
        if (state != State.ACTIVE) {
            throw new NotActiveException("the publisher of epoch " + epoch + " is " + state);
        }
        if (body.length > settings.limits().changeBytes()) {
            throw new IllegalArgumentException(
                    "the body of a change has at most "
                            + settings.limits().changeBytes()
                            + " bytes");
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

    /** Handles a message from a subscriber or another control machine. */
    public void handle(MemberId from, Message message, long time) {
        advance(time);
        if (message.epoch() > epoch) {
            state = State.FENCED;
        }
        if (message instanceof Message.Leave) {
            downstreams.remove(from);
        }
        if (message instanceof Message.Report report && state == State.ACTIVE) {
            if (report.receivedUpTo().isAfter(log.last())
                    && report.receivedUpTo().epoch() == epoch) {
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

    /**
     * Sends the heartbeats, changes and retransmissions that are due, and removes silent
     * downstreams.
     */
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

    /** The latest time, by the caller's clock, for the next call of {@link #fireTimers}. */
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

    /** The members that have a change in force, according to the reports received so far. */
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

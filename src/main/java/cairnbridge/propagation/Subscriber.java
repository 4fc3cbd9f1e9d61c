package cairnbridge.propagation;

import cairnbridge.fleet.member.MemberId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Receives changes from a parent and forwards them to subscribed downstreams. A subscriber acts as
 * a relay if other members have it as a candidate parent; it needs no configuration for that.
 *
 * <p>A subscriber never applies a change that it has rejected or that is not after all changes
 * received: duplicated, late and reordered messages have no effect. Messages with an epoch lower
 * than the highest one seen are ignored and answered with a report that carries the highest epoch.
 */
public final class Subscriber {
    /**
     * How many times a changed report is repeated at short intervals, because reports can be lost.
     */
    private static final int CHANGE_REPORT_REPETITIONS = 2;

    private final MemberId id;
    private final long generation;
    private final Optional<MemberLocation> location;
    private final PropagationSettings settings;
    private final SubscriberHost host;
    private final RetainedLog log;
    private final Downstreams downstreams;
    private final FragmentAssembler assembler;
    private final ReorderBuffer reorder;
    private final ParentSelector parentSelector;
    private final Map<Position, Rejection> rejected = new LinkedHashMap<>();
    private final ElapsedClock clock;
    private long now;
    private long epoch;
    private int hops;
    private Position receivedUpTo;
    private Position inForce;
    private long batchUntil;
    private long reportAt;
    private int remainingRepetitions;
    private long reportNumber;

    /**
     * Creates a subscriber that continues with the change in force before a restart, if any.
     *
     * @param generation a number that differs after each restart of the member
     * @param location the location of a member; empty for control machines, which are not counted
     *     in the coverage
     * @param candidates the candidate parents, the preferred one first
     * @param latest the change in force before the restart, if any
     */
    public Subscriber(
            MemberId id,
            long generation,
            Optional<MemberLocation> location,
            List<MemberId> candidates,
            Optional<Change> latest,
            PropagationSettings settings,
            SubscriberHost host,
            long time) {
        this.id = id;
        this.generation = generation;
        this.location = location;
        this.settings = settings;
        this.host = host;
        clock = new ElapsedClock(time);
        inForce = latest.map(Change::position).orElse(Position.NONE);
        receivedUpTo = inForce;
        epoch = inForce.epoch();
        log = RetainedLog.startingWith(settings, latest);
        downstreams = new Downstreams(settings, log, host);
        assembler = new FragmentAssembler(settings.limits().changeBytes());
        reorder = new ReorderBuffer(settings.flow().windowBytes());
        parentSelector = new ParentSelector(settings, candidates, now);
        reportAt = now;
        batchUntil = now;
    }

    /** The position of the newest change in force at this subscriber. */
    public Position inForce() {
        return inForce;
    }

    /** The position up to which all changes have been received. */
    public Position receivedUpTo() {
        return receivedUpTo;
    }

    /** The highest epoch seen so far. */
    public long epoch() {
        return epoch;
    }

    /** The log that is forwarded to downstreams. */
    public RetainedLog log() {
        return log;
    }

    /** The number of subscribed downstreams. */
    public int downstreams() {
        return downstreams.size();
    }

    /** The maximum number of bytes in flight to a single downstream. */
    public int maxInFlightBytes() {
        return downstreams.maxInFlightBytes();
    }

    /** The number of bytes buffered for an incomplete change. */
    public int assemblerBytes() {
        return assembler.bytes();
    }

    /** The number of bytes buffered for changes that arrived before their predecessors. */
    public int reorderBytes() {
        return reorder.bytes();
    }

    /**
     * The current parent, whether or not it has accepted the subscription; empty if there are no
     * candidates.
     */
    public Optional<MemberId> parent() {
        return parentSelector.isEmpty() ? Optional.empty() : Optional.of(parentSelector.parent());
    }

    /** Replaces the candidate parents after members have joined or left. */
    public void candidates(List<MemberId> candidates, long time) {
        advance(time);
        parentSelector.replace(candidates, now);
        reportAt = now;
        fireTimers(time);
    }

    /** Handles a message from a candidate parent or a downstream. */
    public void handle(MemberId from, Message message, long time) {
        advance(time);
        if (message instanceof Message.Report report) {
            handleReport(from, report);
        } else if (message instanceof Message.Leave) {
            if (downstreams.remove(from)) {
                scheduleReport(settings.reports().delay());
            }
        } else if (message instanceof Message.SubscriptionRejected) {
            if (!parentSelector.isEmpty() && from.equals(parentSelector.parent())) {
                parentSelector.handleRejection(now);
            }
        } else if (message instanceof Message.KeepAlive keepAlive) {
            handleParentMessage(from, keepAlive.heartbeat(), List.of());
        } else if (message instanceof Message.Changes changes) {
            handleParentMessage(from, changes.heartbeat(), changes.fragments());
        }
        fireTimers(time);
    }

    private void advance(long time) {
        now = clock.advance(time);
    }

    private void handleReport(MemberId from, Message.Report report) {
        if (report.epoch() > epoch) {
            epoch = report.epoch();
        }
        if (downstreams.handleReport(from, report, heartbeat(), now)) {
            scheduleReport(settings.reports().delay());
        }
    }

    private void handleParentMessage(
            MemberId from, Message.Heartbeat heartbeat, List<Fragment> fragments) {
        if (!parentSelector.isCandidate(from)) {
            return;
        }
        if (heartbeat.epoch() < epoch) {
            sendReports(from);
            return;
        }
        epoch = heartbeat.epoch();
        MemberId previousParent = parentSelector.parent();
        if (parentSelector.handleHeartbeat(from, heartbeat, now)) {
            host.send(previousParent, new Message.Leave(epoch));
            reportAt = now;
        }
        if (from.equals(parentSelector.parent())) {
            hops = heartbeat.hops() + 1;
        }
        fragments.forEach(this::handleFragment);
    }

    private void handleFragment(Fragment fragment) {
        if (!fragment.position().isAfter(receivedUpTo)) {
            // A repeated fragment: the parent has not received the acknowledgement.
            scheduleReport(settings.reports().delay());
        } else if (fragment.position().epoch() > epoch) {
            return;
        } else if (fragment.follows(receivedUpTo)) {
            assembler.add(fragment).ifPresent(this::receiveWithBuffered);
        } else if (fragment.count() == 1) {
            reorder.add(fragment.toChange());
            scheduleReport(0);
        }
    }

    private void receiveWithBuffered(Change change) {
        Optional<Change> next = Optional.of(change);
        while (next.isPresent()) {
            receive(next.get());
            next = reorder.takeNext(receivedUpTo);
        }
    }

    private void receive(Change change) {
        receivedUpTo = change.position();
        assembler.discardUpTo(receivedUpTo);
        log.append(change);
        if (now >= batchUntil) {
            batchUntil = now + settings.reports().batchDelay();
        }
        scheduleReport(settings.reports().batchDelay());
        Optional<String> reason = host.apply(change);
        if (change.superseding()) {
            rejected.clear();
        }
        if (reason.isPresent()) {
            reject(new Rejection(id, change.position(), reason.get()));
        } else {
            inForce = change.position();
        }
    }

    private void reject(Rejection rejection) {
        if (rejected.size() == ReportSplitter.MAX_REJECTIONS) {
            rejected.remove(rejected.keySet().iterator().next());
        }
        rejected.put(rejection.position(), rejection);
    }

    private void scheduleReport(long delay) {
        remainingRepetitions = CHANGE_REPORT_REPETITIONS;
        reportAt = Math.min(reportAt, now + delay);
    }

    /**
     * Sends the reports, changes and retransmissions that are due, removes silent downstreams and
     * replaces a lost parent.
     */
    public void fireTimers(long time) {
        advance(time);
        if (downstreams.dropSilent(now)) {
            scheduleReport(settings.reports().delay());
        }
        downstreams.serve(heartbeat(), now >= batchUntil, now);
        if (parentSelector.isEmpty()) {
            return;
        }
        if (parentSelector.isLost(now)) {
            switchParent();
        }
        if (now >= reportAt || parentSelector.isSubscriptionDue(now)) {
            reportAt = now + nextReportDelay();
            sendReports(parentSelector.parent());
        }
        if (parentSelector.isPreferredDue(now)) {
            sendReports(parentSelector.preferred());
        }
    }

    /** The latest time, by the caller's clock, for the next call of {@link #fireTimers}. */
    public long nextTimer() {
        return clock.clockTimeAt(elapsedDue());
    }

    private long elapsedDue() {
        long due = downstreams.due();
        if (now < batchUntil) {
            due = Math.min(due, batchUntil);
        }
        return parentSelector.isEmpty()
                ? due
                : Math.min(due, Math.min(reportAt, parentSelector.due()));
    }

    private long nextReportDelay() {
        if (remainingRepetitions == 0) {
            return settings.reports().interval();
        }
        remainingRepetitions--;
        return Math.max(settings.heartbeat().subscribeTimeout(), settings.reports().delay());
    }

    private void switchParent() {
        host.send(parentSelector.parent(), new Message.Leave(epoch));
        parentSelector.chooseNext(now);
        reportAt = now;
    }

    private Message.Heartbeat heartbeat() {
        return new Message.Heartbeat(epoch, parentSelector.sequence(), hops);
    }

    private void sendReports(MemberId to) {
        ProgressTable table = new ProgressTable();
        location.ifPresent(
                member ->
                        table.add(
                                new SiteProgress(
                                        member.site(),
                                        List.of(new SiteProgress.Step(inForce, member.bit())))));
        downstreams.addProgress(table, now);
        List<Rejection> rejections = new ArrayList<>(rejected.values());
        rejections.addAll(downstreams.rejections());
        reportNumber++;
        for (ReportSplitter.Part part :
                ReportSplitter.split(table.sites(), rejections, settings.limits().messageBytes())) {
            host.send(
                    to,
                    new Message.Report(
                            epoch,
                            generation,
                            reportNumber,
                            receivedUpTo,
                            reorder.missingTo(),
                            part.sites(),
                            part.rejections()));
        }
    }
}

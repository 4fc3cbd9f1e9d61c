package cairnbridge.propagation;

import cairnbridge.fleet.member.MemberId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A receiver of changes, which also passes them on to those who subscribe with it. Whether it is a
 * relay is only a matter of whether others name it as their candidate.
 *
 * <p>It never applies a change it has rejected, nor one that is not after all it has received:
 * doubled, late and overtaken messages change nothing. Messages of an epoch lower than the highest
 * it knows of are ignored, and are answered with that epoch.
 */
public final class Subscriber {
    /** News is reported this often again soon, as a report may be lost. */
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
     * One that has something in force from an earlier generation.
     *
     * @param generation another number in each generation of the member
     * @param location empty for control machines, who are not counted
     * @param candidates for parent, the best first
     * @param latest what is in force from an earlier generation
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

    /** The newest change in force here. */
    public Position inForce() {
        return inForce;
    }

    /** All up to here has been received. */
    public Position receivedUpTo() {
        return receivedUpTo;
    }

    /** The highest epoch it knows of. */
    public long epoch() {
        return epoch;
    }

    /** What it may pass on. */
    public RetainedLog log() {
        return log;
    }

    /** How many nodes are subscribed to it. */
    public int downstreams() {
        return downstreams.size();
    }

    /** The most that is on its way to any downstream, in bytes. */
    public int maxInFlightBytes() {
        return downstreams.maxInFlightBytes();
    }

    /** Bytes held for a change that is not whole yet. */
    public int assemblerBytes() {
        return assembler.bytes();
    }

    /** Bytes held of changes that came before those they follow. */
    public int reorderBytes() {
        return reorder.bytes();
    }

    /** The parent it has or asks for now; empty where there is no candidate. */
    public Optional<MemberId> parent() {
        return parentSelector.isEmpty() ? Optional.empty() : Optional.of(parentSelector.parent());
    }

    /** New candidates, as members came or went. */
    public void candidates(List<MemberId> candidates, long time) {
        advance(time);
        parentSelector.replace(candidates, now);
        reportAt = now;
        fireTimers(time);
    }

    /** Handles a message. */
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
        } else if (message instanceof Message.KeepAlive beat) {
            handleParentMessage(from, beat.heartbeat(), List.of());
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
        MemberId before = parentSelector.parent();
        if (parentSelector.handleHeartbeat(from, heartbeat, now)) {
            host.send(before, new Message.Leave(epoch));
            reportAt = now;
        }
        if (from.equals(parentSelector.parent())) {
            hops = heartbeat.hops() + 1;
        }
        fragments.forEach(this::handleFragment);
    }

    private void handleFragment(Fragment fragment) {
        if (!fragment.position().isAfter(receivedUpTo)) {
            // The parent repeats itself: it has not heard that this was received.
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

    /** Does what is due now. */
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

    /** When {@link #fireTimers} is to be called next at the latest, by the caller's clock. */
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
                place ->
                        table.add(
                                new SiteProgress(
                                        place.site(),
                                        List.of(new SiteProgress.Step(inForce, place.bit())))));
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

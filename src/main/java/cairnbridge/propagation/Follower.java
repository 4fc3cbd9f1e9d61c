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
 * <p>It never applies a change it has turned down, nor one that is not after all it has received:
 * doubled, late and overtaken messages change nothing. Messages of an epoch lower than the highest
 * it knows of are not heeded, and are answered with that epoch.
 */
public final class Follower {
    /** News is reported so often again soon, as a report may be lost. */
    private static final int NEWS_REPETITIONS = 2;

    private final MemberId id;
    private final long life;
    private final Optional<Placement> placement;
    private final PropagationSettings settings;
    private final FollowerHost host;
    private final RetainedLog log;
    private final Children children;
    private final PieceAssembly assembly;
    private final ReorderBuffer reorder;
    private final ParentChoice choice;
    private final Map<Position, Refusal> refused = new LinkedHashMap<>();
    private final ElapsedTime clock;
    private long now;
    private long epoch;
    private int hops;
    private Position held;
    private Position inForce;
    private long gatherUntil;
    private long reportAt;
    private int repetitions;
    private long reportNumber;

    /**
     * One that has something in force from an earlier life.
     *
     * @param life another number in each life of the member
     * @param placement empty for control machines, who are not counted
     * @param candidates for parent, the best first
     * @param latest what is in force from an earlier life
     */
    public Follower(
            MemberId id,
            long life,
            Optional<Placement> placement,
            List<MemberId> candidates,
            Optional<Change> latest,
            PropagationSettings settings,
            FollowerHost host,
            long time) {
        this.id = id;
        this.life = life;
        this.placement = placement;
        this.settings = settings;
        this.host = host;
        clock = new ElapsedTime(time);
        inForce = latest.map(Change::position).orElse(Position.NONE);
        held = inForce;
        epoch = inForce.epoch();
        log = RetainedLog.startingWith(settings, latest);
        children = new Children(settings, log, host);
        assembly = new PieceAssembly(settings.changeBytes());
        reorder = new ReorderBuffer(settings.windowBytes());
        choice = new ParentChoice(settings, candidates, now);
        reportAt = now;
        gatherUntil = now;
    }

    /** The newest change in force here. */
    public Position inForce() {
        return inForce;
    }

    /** All up to here has been received. */
    public Position held() {
        return held;
    }

    /** The highest epoch it knows of. */
    public long epoch() {
        return epoch;
    }

    /** What it may pass on. */
    public RetainedLog log() {
        return log;
    }

    public int children() {
        return children.size();
    }

    /** The most that is on its way to any child, in bytes. */
    public int mostOutstandingBytes() {
        return children.mostOutstandingBytes();
    }

    /** Bytes held for a change that is not whole yet. */
    public int assemblyBytes() {
        return assembly.bytes();
    }

    /** Bytes held of changes that came before those they follow. */
    public int reorderBytes() {
        return reorder.bytes();
    }

    /** The parent it has or asks for now; empty where there is no candidate. */
    public Optional<MemberId> parent() {
        return choice.isNobody() ? Optional.empty() : Optional.of(choice.parent());
    }

    /** New candidates, as members came or went. */
    public void candidates(List<MemberId> candidates, long time) {
        advance(time);
        choice.replace(candidates, now);
        reportAt = now;
        turn(time);
    }

    /** Takes in a message. */
    public void handle(MemberId from, Message message, long time) {
        advance(time);
        if (message instanceof Message.Report report) {
            hearReport(from, report);
        } else if (message instanceof Message.Leave) {
            if (children.remove(from)) {
                reportSoon(settings.reportDelay());
            }
        } else if (message instanceof Message.Rejected) {
            if (!choice.isNobody() && from.equals(choice.parent())) {
                choice.rejected(now);
            }
        } else if (message instanceof Message.Beat beat) {
            hearParent(from, beat.heartbeat(), List.of());
        } else if (message instanceof Message.Changes changes) {
            hearParent(from, changes.heartbeat(), changes.pieces());
        }
        turn(time);
    }

    private void advance(long time) {
        now = clock.advance(time);
    }

    private void hearReport(MemberId from, Message.Report report) {
        if (report.epoch() > epoch) {
            epoch = report.epoch();
        }
        if (children.hear(from, report, heartbeat(), now)) {
            reportSoon(settings.reportDelay());
        }
    }

    private void hearParent(MemberId from, Message.Heartbeat heartbeat, List<Piece> pieces) {
        if (!choice.isCandidate(from)) {
            return;
        }
        if (heartbeat.epoch() < epoch) {
            sendReports(from);
            return;
        }
        epoch = heartbeat.epoch();
        MemberId before = choice.parent();
        if (choice.hear(from, heartbeat, now)) {
            host.send(before, new Message.Leave(epoch));
            reportAt = now;
        }
        if (from.equals(choice.parent())) {
            hops = heartbeat.hops() + 1;
        }
        pieces.forEach(this::hearPiece);
    }

    private void hearPiece(Piece piece) {
        if (!piece.position().isAfter(held)) {
            // The parent repeats itself: it has not heard that this was received.
            reportSoon(settings.reportDelay());
        } else if (piece.position().epoch() > epoch) {
            return;
        } else if (piece.follows(held)) {
            assembly.add(piece).ifPresent(this::receiveWithThoseAfter);
        } else if (piece.count() == 1) {
            reorder.add(piece.wholeChange());
            reportSoon(0);
        }
    }

    private void receiveWithThoseAfter(Change change) {
        Optional<Change> next = Optional.of(change);
        while (next.isPresent()) {
            receive(next.get());
            next = reorder.takeNext(held);
        }
    }

    private void receive(Change change) {
        held = change.position();
        assembly.forget(held);
        log.append(change);
        if (now >= gatherUntil) {
            gatherUntil = now + settings.batchDelay();
        }
        reportSoon(settings.batchDelay());
        Optional<String> reason = host.apply(change);
        if (change.superseding()) {
            refused.clear();
        }
        if (reason.isPresent()) {
            refuse(new Refusal(id, change.position(), reason.get()));
        } else {
            inForce = change.position();
        }
    }

    private void refuse(Refusal refusal) {
        if (refused.size() == Reports.MAXIMUM_REFUSALS) {
            refused.remove(refused.keySet().iterator().next());
        }
        refused.put(refusal.position(), refusal);
    }

    private void reportSoon(long delay) {
        repetitions = NEWS_REPETITIONS;
        reportAt = Math.min(reportAt, now + delay);
    }

    /** Does what is due. */
    public void turn(long time) {
        advance(time);
        if (children.dropSilent(now)) {
            reportSoon(settings.reportDelay());
        }
        children.serve(heartbeat(), now >= gatherUntil, now);
        if (choice.isNobody()) {
            return;
        }
        if (choice.isLost(now)) {
            moveOn();
        }
        if (now >= reportAt || choice.subscribesAgain(now)) {
            reportAt = now + untilNextReport();
            sendReports(choice.parent());
        }
        if (choice.asksFirst(now)) {
            sendReports(choice.first());
        }
    }

    /** When {@link #turn} is to be called next at the latest, by the caller's clock. */
    public long due() {
        return clock.shownAt(elapsedDue());
    }

    private long elapsedDue() {
        long due = children.due();
        if (now < gatherUntil) {
            due = Math.min(due, gatherUntil);
        }
        return choice.isNobody() ? due : Math.min(due, Math.min(reportAt, choice.due()));
    }

    private long untilNextReport() {
        if (repetitions == 0) {
            return settings.reportEvery();
        }
        repetitions--;
        return Math.max(settings.subscribeRetry(), settings.reportDelay());
    }

    private void moveOn() {
        host.send(choice.parent(), new Message.Leave(epoch));
        choice.next(now);
        reportAt = now;
    }

    private Message.Heartbeat heartbeat() {
        return new Message.Heartbeat(epoch, choice.beat(), hops);
    }

    private void sendReports(MemberId to) {
        ProgressTable table = new ProgressTable();
        placement.ifPresent(
                place ->
                        table.add(
                                new SiteProgress(
                                        place.site(),
                                        List.of(new SiteProgress.Step(inForce, place.bit())))));
        children.addProgress(table, now);
        List<Refusal> refusals = new ArrayList<>(refused.values());
        refusals.addAll(children.refusals());
        reportNumber++;
        for (Reports.Part part : Reports.split(table.sites(), refusals, settings.messageBytes())) {
            host.send(
                    to,
                    new Message.Report(
                            epoch,
                            life,
                            reportNumber,
                            held,
                            reorder.missingTo(),
                            part.sites(),
                            part.refusals()));
        }
    }
}

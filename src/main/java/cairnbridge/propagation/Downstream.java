package cairnbridge.propagation;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.time.Ticks;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A parent's state for one downstream: its acknowledged position, the fragments in flight to it,
 * and its latest reports.
 */
final class Downstream {
    /** The maximum number of sites kept per downstream; reports on further sites are ignored. */
    static final int MAX_SITES = 256;

    private record InFlight(Position position, int bytes) {}

    private record ReportedSite(SiteProgress progress, long reportedAt) {}

    final MemberId id;
    private final PropagationSettings settings;
    private final ArrayDeque<InFlight> inFlight = new ArrayDeque<>();
    private final Map<String, ReportedSite> sites = new HashMap<>();
    private List<Rejection> rejections = List.of();
    private Position acknowledged = Position.NONE;
    private Position sentUpTo = Position.NONE;
    private Position fragmentedChange = Position.NONE;
    private int nextFragment;
    private int inFlightBytes;
    private long retransmitAt = Long.MAX_VALUE;
    private long retransmitTimeout;
    private long lastReportAt;
    private long lastSentAt;
    private double credit;
    private long generation;
    private long reportNumber = -1;
    private Position repairStart = Position.NONE;
    private Position repairedUpTo = Position.NONE;
    private Position repairEnd = Position.NONE;
    private long nextRepairAt;
    private long creditUpdatedAt;

    Downstream(MemberId id, PropagationSettings settings, long now) {
        this.id = id;
        this.settings = settings;
        retransmitTimeout = settings.flow().retransmitTimeout();
        credit = settings.flow().burstBytes();
        creditUpdatedAt = now;
        lastReportAt = now;
        lastSentAt = now - settings.heartbeat().interval();
    }

    /**
     * Handles a report; returns whether it changes the reported progress or rejections. A report
     * that arrives after a newer one of the same generation is ignored.
     */
    boolean handleReport(Message.Report report, long now) {
        lastReportAt = now;
        boolean isOutdated = report.generation() == generation && report.sequence() < reportNumber;
        if (isOutdated) {
            return false;
        }
        generation = report.generation();
        reportNumber = report.sequence();
        boolean changed = !report.rejections().equals(rejections);
        rejections = report.rejections();
        for (SiteProgress site : report.sites()) {
            if (sites.size() < MAX_SITES || sites.containsKey(site.site())) {
                ReportedSite previous = sites.put(site.site(), new ReportedSite(site, now));
                changed |= previous == null || !previous.progress.equals(site);
            }
        }
        acknowledge(report.receivedUpTo(), now);
        scheduleRepair(report.missingTo(), now);
        return changed;
    }

    private void acknowledge(Position position, long now) {
        boolean hasRegressed = acknowledged.isAfter(position);
        boolean hasAdvanced = position.isAfter(acknowledged);
        acknowledged = position;
        if (hasRegressed || position.isAfter(sentUpTo)) {
            rewindTo(position);
        }
        while (!inFlight.isEmpty() && !inFlight.peek().position.isAfter(position)) {
            inFlightBytes -= inFlight.poll().bytes;
        }
        if (hasAdvanced) {
            retransmitTimeout = settings.flow().retransmitTimeout();
            retransmitAt = inFlight.isEmpty() ? Long.MAX_VALUE : now + retransmitTimeout;
        }
    }

    /**
     * Schedules one retransmission of the changes reported lost. The same gap is repaired again
     * only after half a retransmission timeout, so that the repair has time to arrive.
     */
    private void scheduleRepair(Position missingTo, long now) {
        boolean isAlreadyRepaired = acknowledged.equals(repairStart) && now < nextRepairAt;
        if (!missingTo.isAfter(acknowledged) || isAlreadyRepaired) {
            return;
        }
        repairStart = acknowledged;
        repairedUpTo = acknowledged;
        repairEnd = missingTo;
        nextRepairAt = now + settings.flow().retransmitTimeout() / 2;
        retransmitAt = Math.max(retransmitAt, now + retransmitTimeout);
    }

    /** The position up to which lost changes have been retransmitted. */
    Position repairedUpTo() {
        return repairedUpTo;
    }

    /** Whether a change lies in the range to be retransmitted. */
    boolean needsRepair(Change change) {
        return !change.position().isAfter(repairEnd);
    }

    /** Records that a lost change was retransmitted. */
    void fragmentRepaired(Fragment fragment) {
        credit -= fragment.size();
        repairedUpTo = fragment.position();
    }

    private void rewindTo(Position position) {
        sentUpTo = position;
        nextFragment = 0;
        inFlight.clear();
        inFlightBytes = 0;
        retransmitAt = Long.MAX_VALUE;
    }

    /**
     * Restarts sending after the last acknowledged change if the retransmission timeout has
     * expired, and doubles the timeout up to its maximum.
     */
    void rewindOnTimeout(long now) {
        if (now >= retransmitAt) {
            rewindTo(acknowledged);
            retransmitTimeout =
                    Math.min(2 * retransmitTimeout, settings.flow().maxRetransmitTimeout());
        }
    }

    /** Whether both the byte budget and the send window allow a fragment of this size now. */
    boolean canSend(int bytes, long now) {
        return hasCredit(bytes, now) && !isWindowFull(bytes);
    }

    /** Accrues credit since the last call; returns whether it covers this many bytes. */
    boolean hasCredit(int bytes, long now) {
        double accrued =
                (double) (now - creditUpdatedAt) * settings.flow().bytesPerSecond() / Ticks.SECOND;
        credit = Math.min(settings.flow().burstBytes(), credit + accrued);
        creditUpdatedAt = now;
        return credit >= bytes;
    }

    /** The time at which credit will cover this many bytes. */
    long creditAvailableAt(int bytes) {
        double missing = bytes - credit;
        return creditUpdatedAt
                + (long) Math.ceil(missing * Ticks.SECOND / settings.flow().bytesPerSecond());
    }

    boolean isWindowFull(int bytes) {
        return inFlightBytes + bytes > settings.flow().windowBytes();
    }

    void fragmentSent(Fragment fragment, long now) {
        credit -= fragment.size();
        inFlight.add(new InFlight(fragment.position(), fragment.size()));
        inFlightBytes += fragment.size();
        if (fragment.index() + 1 == fragment.count()) {
            retransmitAt = Math.min(retransmitAt, now + retransmitTimeout);
            sentUpTo = fragment.position();
            nextFragment = 0;
        } else {
            fragmentedChange = fragment.position();
            nextFragment = fragment.index() + 1;
        }
    }

    /** Charges the size of a message frame, which may make the credit negative. */
    void frameSent(int bytes, long now) {
        credit -= bytes;
        lastSentAt = now;
    }

    Position sentUpTo() {
        return sentUpTo;
    }

    Position acknowledged() {
        return acknowledged;
    }

    /** The index of the next fragment of a change to send. */
    int nextFragment(Position change) {
        return change.equals(fragmentedChange) ? nextFragment : 0;
    }

    int inFlightBytes() {
        return inFlightBytes;
    }

    long heartbeatDue() {
        return lastSentAt + settings.heartbeat().interval();
    }

    long retransmitDue() {
        return retransmitAt;
    }

    long dropDue() {
        return lastReportAt + settings.heartbeat().downstreamTimeout();
    }

    List<Rejection> rejections() {
        return rejections;
    }

    /** The site progress reported within the downstream timeout; older reports are removed. */
    List<SiteProgress> sites(long now) {
        sites.values()
                .removeIf(
                        each -> now - each.reportedAt >= settings.heartbeat().downstreamTimeout());
        return sites.values().stream().map(ReportedSite::progress).toList();
    }
}

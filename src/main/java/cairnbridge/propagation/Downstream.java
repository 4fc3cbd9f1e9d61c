package cairnbridge.propagation;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.time.Ticks;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What a parent keeps of one downstream: how far it is, what is on its way to it, what it reported.
 */
final class Downstream {
    /** Beyond these a downstream's reports on further sites or rejections are not kept. */
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

    /** Handles a report; whether anything in it is new. One that was overtaken changes nothing. */
    boolean handleReport(Message.Report report, long now) {
        lastReportAt = now;
        boolean isOvertaken = report.generation() == generation && report.sequence() < reportNumber;
        if (isOvertaken) {
            return false;
        }
        generation = report.generation();
        reportNumber = report.sequence();
        boolean news = !report.rejections().equals(rejections);
        rejections = report.rejections();
        for (SiteProgress site : report.sites()) {
            if (sites.size() < MAX_SITES || sites.containsKey(site.site())) {
                ReportedSite before = sites.put(site.site(), new ReportedSite(site, now));
                news |= before == null || !before.progress.equals(site);
            }
        }
        acknowledge(report.receivedUpTo(), now);
        scheduleRepair(report.missingTo(), now);
        return news;
    }

    private void acknowledge(Position position, long now) {
        boolean isBehind = acknowledged.isAfter(position);
        boolean isFurther = position.isAfter(acknowledged);
        acknowledged = position;
        if (isBehind || position.isAfter(sentUpTo)) {
            rewindTo(position);
        }
        while (!inFlight.isEmpty() && !inFlight.peek().position.isAfter(position)) {
            inFlightBytes -= inFlight.poll().bytes;
        }
        if (isFurther) {
            retransmitTimeout = settings.flow().retransmitTimeout();
            retransmitAt = inFlight.isEmpty() ? Long.MAX_VALUE : now + retransmitTimeout;
        }
    }

    /** What was lost is sent once more, and again only when it has had time to be received. */
    private void scheduleRepair(Position missingTo, long now) {
        boolean isSame = acknowledged.equals(repairStart) && now < nextRepairAt;
        if (!missingTo.isAfter(acknowledged) || isSame) {
            return;
        }
        repairStart = acknowledged;
        repairedUpTo = acknowledged;
        repairEnd = missingTo;
        nextRepairAt = now + settings.flow().retransmitTimeout() / 2;
        retransmitAt = Math.max(retransmitAt, now + retransmitTimeout);
    }

    /** All up to here has been repaired. */
    Position repairedUpTo() {
        return repairedUpTo;
    }

    /** Whether a change is one of those that are to be sent once more. */
    boolean needsRepair(Change change) {
        return !change.position().isAfter(repairEnd);
    }

    /** A change was sent once more. */
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

    /** Begins again after the last change acknowledged, where none was for too long. */
    void rewindOnTimeout(long now) {
        if (now >= retransmitAt) {
            rewindTo(acknowledged);
            retransmitTimeout = Math.min(2 * retransmitTimeout, settings.flow().maxRetransmitTimeout());
        }
    }

    /** Whether a fragment of this many bytes may be sent now for the first time. */
    boolean canSend(int bytes, long now) {
        return hasCredit(bytes, now) && !isWindowFull(bytes);
    }

    /** Whether the budget allows for this many bytes now. */
    boolean hasCredit(int bytes, long now) {
        double earned = (double) (now - creditUpdatedAt) * settings.flow().bytesPerSecond() / Ticks.SECOND;
        credit = Math.min(settings.flow().burstBytes(), credit + earned);
        creditUpdatedAt = now;
        return credit >= bytes;
    }

    /** When there will be credit again for this many bytes. */
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

    /** A frame costs credit as well, which may become negative by one. */
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

    /** Which fragment of a change is to be sent next. */
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

    /** What it reported lately. */
    List<SiteProgress> sites(long now) {
        sites.values()
                .removeIf(each -> now - each.reportedAt >= settings.heartbeat().downstreamTimeout());
        return sites.values().stream().map(ReportedSite::progress).toList();
    }
}

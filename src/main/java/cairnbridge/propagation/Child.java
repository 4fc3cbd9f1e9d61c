package cairnbridge.propagation;

import cairnbridge.fleet.member.MemberId;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What a parent keeps of one child: how far it is, what is on its way to it, what it reported. */
final class Child {
    /** Beyond these a child's reports on further sites or refusals are not kept. */
    static final int MAXIMUM_SITES = 256;

    private record Outstanding(Position position, int bytes) {}

    private record Reported(SiteProgress progress, long heardAt) {}

    final MemberId id;
    private final PropagationSettings settings;
    private final ArrayDeque<Outstanding> outstanding = new ArrayDeque<>();
    private final Map<String, Reported> sites = new HashMap<>();
    private List<Refusal> refusals = List.of();
    private Position held = Position.NONE;
    private Position sentUpTo = Position.NONE;
    private Position pieceOf = Position.NONE;
    private int nextPiece;
    private int outstandingBytes;
    private long resendAt = Long.MAX_VALUE;
    private long resendSpan;
    private long heardAt;
    private long sentAt;
    private double credit;
    private long life;
    private long reportNumber = -1;
    private Position repairBegan = Position.NONE;
    private Position repairedUpTo = Position.NONE;
    private Position repairTo = Position.NONE;
    private long repairAgainAt;
    private long creditAt;

    Child(MemberId id, PropagationSettings settings, long now) {
        this.id = id;
        this.settings = settings;
        resendSpan = settings.retransmitAfter();
        credit = settings.burstBytes();
        creditAt = now;
        heardAt = now;
        sentAt = now - settings.beatEvery();
    }

    /** Takes in a report; whether anything in it is new. One that was overtaken changes nothing. */
    boolean hear(Message.Report report, long now) {
        heardAt = now;
        boolean isOvertaken = report.life() == life && report.number() < reportNumber;
        if (isOvertaken) {
            return false;
        }
        life = report.life();
        reportNumber = report.number();
        boolean news = !report.refusals().equals(refusals);
        refusals = report.refusals();
        for (SiteProgress site : report.sites()) {
            if (sites.size() < MAXIMUM_SITES || sites.containsKey(site.site())) {
                Reported before = sites.put(site.site(), new Reported(site, now));
                news |= before == null || !before.progress.equals(site);
            }
        }
        acknowledge(report.held(), now);
        repairUpTo(report.missingTo(), now);
        return news;
    }

    private void acknowledge(Position position, long now) {
        boolean isBehind = held.isAfter(position);
        boolean isFurther = position.isAfter(held);
        held = position;
        if (isBehind || position.isAfter(sentUpTo)) {
            sendAgainFrom(position);
        }
        while (!outstanding.isEmpty() && !outstanding.peek().position.isAfter(position)) {
            outstandingBytes -= outstanding.poll().bytes;
        }
        if (isFurther) {
            resendSpan = settings.retransmitAfter();
            resendAt = outstanding.isEmpty() ? Long.MAX_VALUE : now + resendSpan;
        }
    }

    /** What was lost is sent once more, and again only when it has had time to be received. */
    private void repairUpTo(Position missingTo, long now) {
        boolean isSame = held.equals(repairBegan) && now < repairAgainAt;
        if (!missingTo.isAfter(held) || isSame) {
            return;
        }
        repairBegan = held;
        repairedUpTo = held;
        repairTo = missingTo;
        repairAgainAt = now + settings.retransmitAfter() / 2;
        resendAt = Math.max(resendAt, now + resendSpan);
    }

    /** All up to here has been repaired. */
    Position repairedUpTo() {
        return repairedUpTo;
    }

    /** Whether a change is one of those that are to be sent once more. */
    boolean needsRepair(Change change) {
        return !change.position().isAfter(repairTo);
    }

    /** A change was sent once more. */
    void repaired(Piece piece) {
        credit -= piece.size();
        repairedUpTo = piece.position();
    }

    private void sendAgainFrom(Position position) {
        sentUpTo = position;
        nextPiece = 0;
        outstanding.clear();
        outstandingBytes = 0;
        resendAt = Long.MAX_VALUE;
    }

    /** Begins again after the last change acknowledged, where none was for too long. */
    void checkAcknowledged(long now) {
        if (now >= resendAt) {
            sendAgainFrom(held);
            resendSpan = Math.min(2 * resendSpan, settings.retransmitMost());
        }
    }

    /** Whether a piece of so many bytes may be sent now for the first time. */
    boolean hasRoom(int bytes, long now) {
        return hasCredit(bytes, now) && !isWindowFull(bytes);
    }

    /** Whether the budget allows for so many bytes now. */
    boolean hasCredit(int bytes, long now) {
        double earned =
                (double) (now - creditAt) * settings.bytesPerSecond() / PropagationSettings.SECOND;
        credit = Math.min(settings.burstBytes(), credit + earned);
        creditAt = now;
        return credit >= bytes;
    }

    /** When there will be credit again for so many bytes. */
    long creditDue(int bytes) {
        double missing = bytes - credit;
        return creditAt
                + (long)
                        Math.ceil(missing * PropagationSettings.SECOND / settings.bytesPerSecond());
    }

    boolean isWindowFull(int bytes) {
        return outstandingBytes + bytes > settings.windowBytes();
    }

    void sent(Piece piece, long now) {
        credit -= piece.size();
        outstanding.add(new Outstanding(piece.position(), piece.size()));
        outstandingBytes += piece.size();
        if (piece.index() + 1 == piece.count()) {
            resendAt = Math.min(resendAt, now + resendSpan);
            sentUpTo = piece.position();
            nextPiece = 0;
        } else {
            pieceOf = piece.position();
            nextPiece = piece.index() + 1;
        }
    }

    /** A frame costs credit as well, which may become negative by one. */
    void sentFrame(int bytes, long now) {
        credit -= bytes;
        sentAt = now;
    }

    Position sentUpTo() {
        return sentUpTo;
    }

    Position held() {
        return held;
    }

    /** Which piece of a change is to be sent next. */
    int nextPiece(Position change) {
        return change.equals(pieceOf) ? nextPiece : 0;
    }

    int outstandingBytes() {
        return outstandingBytes;
    }

    long beatDue() {
        return sentAt + settings.beatEvery();
    }

    long resendDue() {
        return resendAt;
    }

    long dropDue() {
        return heardAt + settings.childTimeout();
    }

    List<Refusal> refusals() {
        return refusals;
    }

    /** What it reported lately. */
    List<SiteProgress> sites(long now) {
        sites.values().removeIf(each -> now - each.heardAt >= settings.childTimeout());
        return sites.values().stream().map(Reported::progress).toList();
    }
}

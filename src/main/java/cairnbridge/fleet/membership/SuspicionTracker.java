package cairnbridge.fleet.membership;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import cairnbridge.fleet.membership.MembershipHost.StatusChangeReason;
import cairnbridge.time.Ticks;

/** Members under suspicion, from the first report until they refute it or are declared dead. */
final class SuspicionTracker {
    /** On average this many of the members that hear of a suspicion probe the suspect at once. */
    private static final int CONFIRMING_MEMBERS = 5;

    /** This many further reporters bring the timeout of a suspicion down to its minimum. */
    private static final int MAX_CONFIRMATIONS = 3;

    /** Probes are more frequent while a member became suspect within this time, ... */
    private static final long RECENT_SUSPICION = 2 * Ticks.SECOND;

    /** ... by this factor, and for this long at most. */
    private static final int FAST_PROBE_FACTOR = 3;

    private static final long MAX_FAST_PROBING_TIME = 5 * Ticks.SECOND;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final SwimContext context;
    private final FailureDetector failureDetector;
    private long lastSuspicionAt = NEVER;
    private long suspicionsSince;

    SuspicionTracker(SwimContext context, FailureDetector failureDetector) {
        this.context = context;
        this.failureDetector = failureDetector;
    }

    /**
     * The present interval between probes. Guards against a third of a fleet that dies at once, of
     * which the last would be probed seconds after the first: a suspicion is seldom alone. The
     * short interval does not last, as in a large fleet in trouble somebody is always suspect.
     */
    long probeInterval() {
        long interval = context.settings.probeInterval();
        boolean fast = wasSuspicionRecent() && context.now() - suspicionsSince < MAX_FAST_PROBING_TIME;
        return fast ? interval / FAST_PROBE_FACTOR : interval;
    }

    private boolean wasSuspicionRecent() {
        return context.now() - lastSuspicionAt < RECENT_SUSPICION;
    }

    /** How long a suspicion lasts that many members confirm. */
    long minTimeout() {
        double digits = Math.max(1, Math.log10(context.liveCountWithSelf()));
        return (long)
                (context.settings.suspicionMultiplier()
                        * digits
                        * context.settings.probeInterval());
    }

    /** A member did not answer, or another one reports that. */
    void suspect(MemberRecord member, MemberState report) {
        MemberState before = member.state;
        MemberId reporter = report.reportedBy() == null ? member.id : report.reportedBy();
        if (before.status() == MemberStatus.SUSPECT
                && report.incarnation().equals(before.incarnation())) {
            confirm(member, report, reporter);
            return;
        }
        context.counters.suspicions++;
        context.markStatusChanged();
        Suspicion suspicion = newSuspicion(reporter);
        member.suspect(suspicion);
        MemberState after = before.withStatus(report.incarnation(), MemberStatus.SUSPECT, reporter);
        context.table.update(member, after, context.now());
        context.gossipQueue.addStatus(after.withoutMetadata());
        context.host.memberChanged(before, after, StatusChangeReason.PROBE_FAILED);
        scheduleDeath(member, suspicion);
        context.schedule(minTimeout() / 2, () -> requestRefutation(member, suspicion));
        recordSuspicionTime();
        probeToConfirm(member, after, reporter);
    }

    private Suspicion newSuspicion(MemberId reporter) {
        long min = minTimeout();
        long max = (long) (min * context.settings.maxSuspicionMultiplier());
        int wanted = Math.min(MAX_CONFIRMATIONS, context.liveCountWithSelf() - 3);
        return new Suspicion(context.now(), new Suspicion.Timeouts(min, max), wanted, reporter);
    }

    private void confirm(MemberRecord member, MemberState report, MemberId reporter) {
        Suspicion suspicion = member.suspicion().orElseThrow();
        if (suspicion.confirm(reporter)) {
            context.gossipQueue.addStatus(report.withoutMetadata());
            scheduleDeath(member, suspicion);
        }
    }

    private void recordSuspicionTime() {
        if (!wasSuspicionRecent()) {
            suspicionsSince = context.now();
        }
        lastSuspicionAt = context.now();
    }

    private void probeToConfirm(MemberRecord member, MemberState state, MemberId reporter) {
        if (!reporter.equals(context.self.id())
                && context.random.nextDouble() * context.liveCountWithSelf() < CONFIRMING_MEMBERS) {
            failureDetector.challenge(member, state.withoutMetadata());
        }
    }

    /**
     * Guards against a death for want of one update: of some hundred refutations each misses a view
     * where a tenth of all datagrams is lost. Who holds a suspect for long asks it, again and
     * again, until its time is up.
     */
    private void requestRefutation(MemberRecord member, Suspicion suspicion) {
        if (member.hasSuspicion(suspicion) && !context.self.hasLeft()) {
            failureDetector.pingWithStatus(member);
            context.schedule(
                    context.settings.probeInterval(), () -> requestRefutation(member, suspicion));
        }
    }

    private void scheduleDeath(MemberRecord member, Suspicion suspicion) {
        context.timers.schedule(
                suspicion.due(),
                () -> {
                    if (member.hasSuspicion(suspicion) && context.now() >= suspicion.due()) {
                        MemberState dead =
                                member.state.withStatus(MemberStatus.DEAD, context.self.id());
                        declareDead(member, dead, StatusChangeReason.SUSPICION_TIMEOUT);
                    }
                });
    }

    /** Declares a member dead in the incarnation that the statement is about. */
    void declareDead(MemberRecord member, MemberState statement, StatusChangeReason reason) {
        MemberState before = member.state;
        MemberState after =
                before.withStatus(
                        statement.incarnation(), MemberStatus.DEAD, statement.reportedBy());
        if (!statement.incarnation().isSameGeneration(before.incarnation())) {
            after = after.withMetadata(0, null);
        }
        member.clearSuspicion();
        context.table.update(member, after, context.now());
        context.gossipQueue.addStatus(after.withoutMetadata());
        if (before.status().isLive()) {
            context.counters.deaths++;
            context.markStatusChanged();
            context.host.memberChanged(before, after, reason);
        }
    }

    /** This process stood still: no suspect could be heard meanwhile. */
    void extendAllBy(long pause) {
        for (MemberRecord member : context.table.live()) {
            member.suspicion()
                    .ifPresent(
                            suspicion -> {
                                suspicion.extendBy(pause);
                                scheduleDeath(member, suspicion);
                            });
        }
    }
}

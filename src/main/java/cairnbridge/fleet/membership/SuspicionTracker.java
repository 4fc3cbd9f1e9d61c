package cairnbridge.fleet.membership;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import cairnbridge.fleet.membership.MembershipHost.StatusChangeReason;
import cairnbridge.time.Ticks;

/** Tracks suspect members from the first report until they refute it or are declared dead. */
final class SuspicionTracker {
    /** Mean number of members that probe a suspect as soon as they receive the suspicion. */
    private static final int CONFIRMING_MEMBERS = 5;

    /** Number of further reporters that reduce the timeout of a suspicion to its minimum. */
    private static final int MAX_CONFIRMATIONS = 3;

    /** Probes are more frequent for this long after a member became suspect. */
    private static final long RECENT_SUSPICION = 2 * Ticks.SECOND;

    /**
     * The factor by which probes are more frequent; applies for {@link #MAX_FAST_PROBING_TIME} at
     * most.
     */
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
     * The current probe interval, which is shorter after a recent suspicion because failures tend
     * to come together. Guards against slow detection when a third of a fleet dies at once: at the
     * normal interval, the last of them would be probed seconds after the first. The short interval
     * is limited in time, because a large fleet with network problems always has a suspect member.
     */
    long probeInterval() {
        long interval = context.settings.probeInterval();
        boolean fast =
                wasSuspicionRecent() && context.now() - suspicionsSince < MAX_FAST_PROBING_TIME;
        return fast ? interval / FAST_PROBE_FACTOR : interval;
    }

    private boolean wasSuspicionRecent() {
        return context.now() - lastSuspicionAt < RECENT_SUSPICION;
    }

    /** The timeout of a suspicion that enough members confirm. */
    long minTimeout() {
        double digits = Math.max(1, Math.log10(context.liveCountWithSelf()));
        return (long)
                (context.settings.suspicionMultiplier()
                        * digits
                        * context.settings.probeInterval());
    }

    /** Records that a member did not answer a probe, or that another member reports so. */
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
        int expected = Math.min(MAX_CONFIRMATIONS, context.liveCountWithSelf() - 3);
        return new Suspicion(context.now(), new Suspicion.Timeouts(min, max), expected, reporter);
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
     * Pings a suspect repeatedly until its suspicion ends. Guards against a false death because of
     * one lost update: where a tenth of all datagrams is lost, each of some hundred refutations
     * fails to reach some view by gossip.
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

    /** Declares a member dead in the incarnation of the statement. */
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

    /**
     * Extends all suspicions by a pause of this process, during which it could not receive
     * refutations.
     */
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

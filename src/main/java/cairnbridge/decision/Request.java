package cairnbridge.decision;

import cairnbridge.decision.Ids.KeyId;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Router.ServerNode;
import cairnbridge.decision.Settings.DeduplicationScope;
import cairnbridge.decision.Settings.Effect;
import cairnbridge.hash.SplitMix64;
import java.util.ArrayList;
import java.util.List;

/** The record kept of one op from its arrival to the end of its last push. */
final class Request {
    final RequestId id;
    final RequestPolicy plan;
    final KeyId key;
    final int tenant;
    final long point;
    final long arrived;
    final long expires;

    /** An answer after this is worth nothing. */
    final long useful;

    final boolean write;
    final boolean repeat;
    final List<Attempt> pushes = new ArrayList<>(2);
    double benefit;
    int open;
    boolean over;
    boolean streaming;
    boolean waiting;
    ServerNode missedAt;

    Request(Event.RequestArrived event, RequestPolicy plan, long now) {
        id = event.request();
        this.plan = plan;
        key = event.key();
        tenant = event.tenant().value();
        point = mix(key == null ? id.value() : key.value());
        arrived = now;
        expires = event.deadline();
        useful = plan.lateCounts ? expires : Math.min(expires, now + plan.target);
        write = event.isWrite();
        repeat = event.isClientRetry();
        benefit = plan.benefit();
    }

    static long mix(long value) {
        return SplitMix64.mix(value);
    }

    boolean mayHaveRun() {
        for (Attempt push : pushes) {
            if (push.mayHaveRun) {
                return true;
            }
        }
        return false;
    }

    /**
     * The last time at which one more push may begin: within the TTL, and within the idempotency
     * window, which counts from the first push that may have run.
     */
    long latestBegin(long tick) {
        long latest = expires - tick;
        for (Attempt push : pushes) {
            if (push.mayHaveRun && plan.effect() == Effect.DEDUPLICATED) {
                latest = Math.min(latest, push.sent + plan.span() - tick);
            }
        }
        return latest;
    }

    boolean triedAt(ServerNode node) {
        for (Attempt push : pushes) {
            if (push.node == node) {
                return true;
            }
        }
        return false;
    }

    /** What decisions use of a category. */
    record RequestPolicy(
            Effect effect,
            DeduplicationScope group,
            long span,
            long target,
            double benefit,
            boolean lateCounts,
            LatencyHistogram hits,
            Settings.Category category) {
        static RequestPolicy of(Settings.Category c) {
            return new RequestPolicy(
                    c.effect(),
                    c.deduplicationScope(),
                    c.deduplicationWindow(),
                    c.latencyObjective(),
                    c.priorityWeight(),
                    c.latePriorityWeight() > 0,
                    new LatencyHistogram(),
                    c);
        }

        /**
         * A hit that took longer than this waited behind others: some times the usual, within the
         * target.
         */
        long late() {
            return Math.max(target / 5, Math.min(target * 3 / 5, 5 * hits.floor()));
        }
    }

    /** One push of the op; until its end is known it may have run. */
    static final class Attempt {
        final ServerNode node;
        final long sent;
        final boolean fetch;
        boolean open = true;
        boolean mayHaveRun = true;

        Attempt(ServerNode node, long sent, boolean fetch) {
            this.node = node;
            this.sent = sent;
            this.fetch = fetch;
        }
    }

    /** One fetch of a key from the origin: who leads it, and who waits for what it brings. */
    static final class CoalescedFetch {
        final List<Request> followers = new ArrayList<>(2);
        Request leader;
    }
}

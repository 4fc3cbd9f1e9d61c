package cairnbridge.decision;

import cairnbridge.decision.Ids.KeyId;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Router.Node;
import cairnbridge.decision.Settings.DeduplicationScope;
import cairnbridge.decision.Settings.Effect;
import cairnbridge.hash.SplitMix64;
import java.util.ArrayList;
import java.util.List;

/** The record kept of one op from its arrival to the end of its last push. */
final class Op {
    final RequestId id;
    final Plan plan;
    final KeyId key;
    final int tenant;
    final long point;
    final long arrived;
    final long expires;

    /** An answer after this is worth nothing. */
    final long useful;

    final boolean write;
    final boolean repeat;
    final List<Push> pushes = new ArrayList<>(2);
    double benefit;
    int open;
    boolean over;
    boolean streaming;
    boolean waiting;
    Node missedAt;

    Op(Event.RequestArrived event, Plan plan, long now) {
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
        for (Push push : pushes) {
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
        for (Push push : pushes) {
            if (push.mayHaveRun && plan.effect() == Effect.DEDUPLICATED) {
                latest = Math.min(latest, push.sent + plan.span() - tick);
            }
        }
        return latest;
    }

    boolean triedAt(Node node) {
        for (Push push : pushes) {
            if (push.node == node) {
                return true;
            }
        }
        return false;
    }

    /** What decisions use of a category. */
    record Plan(
            Effect effect,
            DeduplicationScope group,
            long span,
            long target,
            double benefit,
            boolean lateCounts,
            Spans hits,
            Settings.Category category) {
        static Plan of(Settings.Category c) {
            return new Plan(
                    c.effect(),
                    c.deduplicationScope(),
                    c.deduplicationWindow(),
                    c.latencyObjective(),
                    c.priorityWeight(),
                    c.latePriorityWeight() > 0,
                    new Spans(),
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
    static final class Push {
        final Node node;
        final long sent;
        final boolean fetch;
        boolean open = true;
        boolean mayHaveRun = true;

        Push(Node node, long sent, boolean fetch) {
            this.node = node;
            this.sent = sent;
            this.fetch = fetch;
        }
    }

    /** One fetch of a key from the origin: who leads it, and who waits for what it brings. */
    static final class Fetch {
        final List<Op> followers = new ArrayList<>(2);
        Op leader;
    }
}

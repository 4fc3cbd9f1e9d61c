package cairnbridge.decision;

import cairnbridge.decision.Settings.DeduplicationScope;
import cairnbridge.decision.Settings.Effect;

/**
 * Enforces the four safety rules. Every attempt and every final answer is issued by this class and
 * nowhere else.
 *
 * <ol>
 *   <li>A request gets one final answer, and no attempt is sent after it or too late to be
 *       answered.
 *   <li>A request that may have run is repeated only where its effect, deduplication scope and
 *       deduplication window allow that.
 *   <li>A draining node gets no new attempts.
 *   <li>A node in slow start gets no more attempts than its budget allows.
 * </ol>
 */
final class Dispatcher {
    private final RouterContext context;
    private final Settings.Attempts settings;
    private final long maxRetryAfter;
    private final long clockGranularity;

    Dispatcher(RouterContext context) {
        this.context = context;
        settings = context.settings.attempts();
        Settings.Clients clients = context.settings.clients();
        maxRetryAfter = clients.mayAdviseRetry() ? clients.maxRetryAfter() : 0;
        clockGranularity = context.settings.proxy().clockGranularity();
    }

    /**
     * Sends an attempt to a node that has accepted the request, unless one of the rules forbids it.
     */
    void send(Request request, ServerNode node) {
        boolean isFetch = context.origin.contains(node);
        if (!mayAttempt(request) || !mayAttemptAt(request, node)) {
            veto(request, node, isFetch);
            return;
        }
        long latestStart = request.latestStart(clockGranularity);
        Attempt attempt = new Attempt(node, context.now(), isFetch);
        request.attemptStarted(attempt);
        context.slowStart.attemptSent(node);
        context.host.sendAttempt(request.id, node.id(), 0, latestStart);
        context.loop.post(() -> context.requests.attemptSent(request, attempt));
    }

    private void veto(Request request, ServerNode node, boolean isFetch) {
        context.loop.post(node::attemptVetoed);
        if (isFetch) {
            context.loop.post(() -> context.origin.attemptVetoed(request));
        }
        context.loop.post(() -> context.requests.cannotContinue(request, 0));
    }

    /** Whether rules 1 and 2 allow another attempt at any node. */
    boolean mayAttempt(Request request) {
        boolean isPending = !request.isFinished() && !request.isStreaming();
        boolean hasTime = request.deadline - context.now() > clockGranularity;
        boolean isWithinLimits =
                request.attempts().size() < settings.maxAttempts()
                        && (settings.mayHedge() || request.openAttempts() == 0);
        boolean isSafe = request.policy.effect() != Effect.AT_MOST_ONCE || !request.mayHaveRun();
        return isPending && hasTime && isWithinLimits && isSafe;
    }

    /**
     * Whether the rules that depend on the node allow an attempt there: rule 2 for deduplicated
     * requests (scope and window), rule 3 (draining nodes) and rule 4 (slow start).
     */
    private boolean mayAttemptAt(Request request, ServerNode node) {
        return context.now() < request.latestStart(clockGranularity)
                && node.isReady()
                && (context.origin.contains(node) || context.slowStart.hasCapacity(node))
                && isWithinScope(request, node);
    }

    /**
     * Whether the node shares its idempotency keys with every node that may have executed this
     * deduplicated request.
     */
    private static boolean isWithinScope(Request request, ServerNode node) {
        if (request.policy.effect() != Effect.DEDUPLICATED) {
            return true;
        }
        DeduplicationScope scope = request.policy.deduplicationScope();
        for (Attempt attempt : request.attempts()) {
            if (attempt.mayHaveRun() && !sharesScope(scope, attempt.node, node)) {
                return false;
            }
        }
        return true;
    }

    private static boolean sharesScope(DeduplicationScope scope, ServerNode one, ServerNode other) {
        return switch (scope) {
            case ALL_NODES -> true;
            case ZONE -> one.endpoint().zone().equals(other.endpoint().zone());
            case CELL -> one.endpoint().cell().equals(other.endpoint().cell());
        };
    }

    /**
     * Sends the final answer unless one was sent before: a retryable rejection where a repeat is
     * harmless, otherwise a permanent failure that makes no statement about effects.
     */
    void answer(Request request, long wantedRetryAfter) {
        if (request.isFinished()) {
            return;
        }
        long retryAfter = Math.min(maxRetryAfter, wantedRetryAfter);
        if (isRepeatHarmless(request, retryAfter)) {
            context.host.rejectRetryable(request.id, retryAfter);
        } else {
            context.host.failPermanently(request.id);
        }
        request.finish();
        context.loop.post(() -> context.requests.finish(request));
    }

    private boolean isRepeatHarmless(Request request, long retryAfter) {
        return switch (request.policy.effect()) {
            case IDEMPOTENT -> true;
            case DEDUPLICATED -> !request.mayHaveRun() || isRepeatDeduplicated(request, retryAfter);
            case AT_MOST_ONCE -> !request.mayHaveRun();
        };
    }

    private boolean isRepeatDeduplicated(Request request, long retryAfter) {
        RequestPolicy policy = request.policy;
        long windowEnd = request.attempts().get(0).sentAt + policy.deduplicationWindow();
        return policy.deduplicationScope() == DeduplicationScope.ALL_NODES
                && context.now() + retryAfter < windowEnd;
    }

    /**
     * Cancels the open attempts of a request that needs no answer any more. Only idempotent
     * requests are cancelled: an at-most-once request may still be executed, so cancelling it would
     * help nobody.
     */
    void cancelOpenAttempts(Request request) {
        boolean mayCancel = settings.mayCancel() && request.policy.effect() == Effect.IDEMPOTENT;
        if (!mayCancel || request.openAttempts() == 0) {
            return;
        }
        for (int number = 0; number < request.attempts().size(); number++) {
            if (request.openAttempt(number) != null) {
                context.host.cancelAttempt(request.id, number);
            }
        }
    }
}

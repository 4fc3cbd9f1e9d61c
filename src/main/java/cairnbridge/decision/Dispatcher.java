package cairnbridge.decision;

import cairnbridge.decision.Settings.DeduplicationScope;
import cairnbridge.decision.Settings.Effect;

/**
 * Holds the four rules: every attempt and every final answer passes here, and nowhere else are they
 * made.
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

    /** Sends an attempt to a node that has accepted the request, if the rules still allow it. */
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

    /** Rules 1 and 2, as far as they do not depend on the node. */
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
     * Rule 2 for deduplicated requests (scope and window), rule 3 (draining nodes), rule 4 (slow
     * start).
     */
    private boolean mayAttemptAt(Request request, ServerNode node) {
        return context.now() < request.latestStart(clockGranularity)
                && node.isReady()
                && (context.origin.contains(node) || context.slowStart.hasCapacity(node))
                && isWithinScope(request, node);
    }

    /** Whether a deduplicated request would be known at a node as one that may have run. */
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
     * Gives the final answer, unless there is one: a rejection with a promise of no effect where a
     * repeat is harmless, else a failure without a promise.
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
     * Cancels what is still open of a request that needs no answer any more. An at-most-once
     * request may still be carried out: cancelling it would help nobody.
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

package cairnbridge.decision;

import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Settings.Effect;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Stores every request from its arrival to the end of its last attempt, and decides on its retries
 * and hedged requests.
 */
final class RequestTable {
    private final RouterContext context;
    private final List<RequestPolicy> policies;
    private final Map<RequestId, Request> requests = new HashMap<>();
    private final RetryBudget retryBudget = new RetryBudget();

    /** How long before its deadline a request is answered at the latest. */
    private final long answerMargin;

    RequestTable(RouterContext context) {
        this.context = context;
        policies = context.settings.categories().stream().map(RequestPolicy::of).toList();
        answerMargin = TimeBudget.answerMargin(context.settings.proxy().clockGranularity());
    }

    /** Starts the periodic work of the ring and the origin limiter. */
    void startHousekeeping() {
        context.loop.schedule(RouterContext.HOUSEKEEPING_INTERVAL, this::housekeeping);
    }

    private void housekeeping() {
        context.loop.post(context.ring::housekeeping);
        context.loop.post(context.origin::housekeeping);
        startHousekeeping();
    }

    /** Handles an event about a request; events about unknown requests are ignored. */
    void handle(Event event) {
        if (event instanceof Event.RequestArrived arrived) {
            requestArrived(arrived);
        } else if (event instanceof Event.AttemptEnded ended) {
            attemptEnded(ended);
        } else if (event instanceof Event.RequestCancelled cancelled) {
            Request request = requests.get(cancelled.request());
            if (request != null) {
                finish(request);
            }
        } else if (event instanceof Event.ShutdownScheduled shutdown) {
            shutdownScheduled(shutdown.deadline());
        } else if (event instanceof Event.RequestDeadlineChanged changed) {
            deadlineChanged(changed);
        } else if (event instanceof Event.StreamingStarted started) {
            streamingStarted(started);
        } else if (event instanceof Event.RequestBodyStreamingStarted started) {
            bodyStreamingStarted(started);
        } else if (event instanceof Event.RequestBodyReceived received) {
            bodyReceived(received);
        }
    }

    private void streamingStarted(Event.StreamingStarted event) {
        Request request = requests.get(event.request());
        if (request == null) {
            return;
        }
        request.streamingStarted();
        context.loop.post(() -> context.origin.streamingStarted(request));
        Attempt attempt = request.openAttempt(event.attempt());
        if (attempt == null || attempt.isStreaming()) {
            return;
        }
        changePace(attempt, () -> attempt.streamingStarted(event.elapsed()));
        if (!attempt.isFetch) {
            request.policy.hitLatency().add(event.elapsed());
            context.admission.streamingStarted(request, attempt.node, event.elapsed());
        }
    }

    private void bodyStreamingStarted(Event.RequestBodyStreamingStarted event) {
        Request request = requests.get(event.request());
        if (request == null) {
            return;
        }
        request.streamingStarted();
        Attempt attempt = request.openAttempt(event.attempt());
        if (attempt != null) {
            changePace(attempt, attempt::bodyStreamingStarted);
        }
    }

    private void bodyReceived(Event.RequestBodyReceived event) {
        Request request = requests.get(event.request());
        if (request == null) {
            return;
        }
        for (Attempt attempt : request.attempts()) {
            changePace(attempt, attempt::bodyReceived);
        }
    }

    /** Makes a change to an attempt, and tells the limits if it waits for its server or no more. */
    private void changePace(Attempt attempt, Runnable change) {
        boolean wasClientPaced = attempt.isClientPaced();
        change.run();
        if (attempt.isClientPaced() == wasClientPaced) {
            return;
        }
        if (attempt.isFetch) {
            context.origin.paceChanged(!wasClientPaced);
        } else {
            context.admission.paceChanged(!wasClientPaced);
        }
    }

    private void requestArrived(Event.RequestArrived event) {
        int category = Math.min(policies.size() - 1, event.category().value());
        Request request = new Request(event, policies.get(Math.max(0, category)), context.now());
        requests.put(request.id, request);
        retryBudget.requestArrived();
        long timeLeft = request.deadline - context.now() - answerMargin;
        if (timeLeft <= 0) {
            context.loop.post(() -> context.dispatcher.answer(request, 0));
            return;
        }
        context.loop.schedule(timeLeft, () -> deadlineReached(request));
        context.loop.post(() -> context.admission.requestArrived(request));
    }

    private void deadlineChanged(Event.RequestDeadlineChanged event) {
        Request request = requests.get(event.request());
        if (request == null || request.isFinished()) {
            return;
        }
        request.changeDeadline(event.deadline(), context.now());
        long timeLeft = Math.max(0, request.deadline - answerMargin - context.now());
        context.loop.schedule(timeLeft, () -> deadlineReached(request));
    }

    /** Guards against the end of a request whose deadline has been put off since. */
    private void deadlineReached(Request request) {
        if (context.now() >= request.deadline - answerMargin) {
            expired(request);
        }
    }

    /**
     * Guards against requests that are still unanswered when the process exits: at the shutdown
     * deadline they are answered as if their own deadline had passed.
     */
    private void shutdownScheduled(long deadline) {
        long timeLeft = Math.max(0, deadline - answerMargin - context.now());
        for (Request request : requests.values()) {
            context.loop.schedule(timeLeft, () -> expired(request));
        }
    }

    private void expired(Request request) {
        if (!request.isFinished() && !request.isStreaming()) {
            long retryAfter = RouterContext.LONGEST_RETRY_AFTER;
            context.loop.post(() -> context.dispatcher.answer(request, retryAfter));
        }
    }

    /** Forwards an admitted request to the ring of caches, or to the origin. */
    void admitted(Request request) {
        OriginLimiter origin = context.origin;
        boolean goesToOrigin =
                origin.isLookAside() && (request.isWrite || origin.isFetching(request.key));
        if (goesToOrigin) {
            context.loop.post(() -> origin.fetch(request));
        } else {
            context.loop.post(() -> context.placer.place(request));
        }
    }

    /**
     * Schedules a hedged request for an attempt that takes much longer than usual for its category.
     */
    void attemptSent(Request request, Attempt attempt) {
        RequestPolicy policy = request.policy;
        boolean mayHedge =
                context.settings.attempts().mayHedge() && policy.effect() == Effect.IDEMPOTENT;
        if (attempt.isFetch || !mayHedge) {
            return;
        }
        LatencyHistogram latency = policy.hitLatency();
        long maxDelay = Math.max(policy.latencyObjective() / 2, 5 * latency.floor());
        long usualDelay = 2 * latency.quantile(0.95, policy.latencyObjective() / 4);
        long delay = Math.min(maxDelay, usualDelay);
        if (request.deadline - context.now() > delay + latency.quantile(0.5, 0)) {
            context.loop.schedule(delay, () -> hedge(request, attempt));
        }
    }

    private void hedge(Request request, Attempt attempt) {
        boolean isPending = !request.isFinished() && !request.isStreaming();
        boolean isOnlyAttempt = request.openAttempts() == 1 && attempt.isOpen();
        if (isPending && isOnlyAttempt && retryBudget.has(1)) {
            retryBudget.spend(1);
            context.loop.post(() -> context.placer.place(request));
        }
    }

    private void attemptEnded(Event.AttemptEnded event) {
        Request request = requests.get(event.request());
        Attempt attempt = request == null ? null : request.openAttempt(event.attempt());
        if (attempt == null) {
            return;
        }
        changePace(attempt, () -> request.attemptEnded(attempt, event.outcome()));
        Event.AttemptEnded ended = event.withDuration(attempt.serverTime(event.duration()));
        context.loop.post(() -> attempt.node.attemptEnded(request, ended));
        if (attempt.isFetch) {
            context.loop.post(() -> context.origin.attemptEnded(request, ended));
        } else {
            context.loop.post(() -> context.admission.attemptEnded(request, attempt, ended));
            if (event.outcome() == AttemptOutcome.SUCCESS && !attempt.isStreaming()) {
                request.policy.hitLatency().add(ended.duration());
            }
        }
        if (event.isRequestOver() || request.isFinished()) {
            finish(request);
        } else if (event.outcome() == AttemptOutcome.CACHE_MISS) {
            request.recordMissAt(attempt.node);
            context.loop.post(() -> context.origin.fetch(request));
        } else {
            retry(request, attempt, event.outcome().reachedNoNode() ? 0 : 1);
        }
    }

    /**
     * Retries at another node if the rules, the remaining time and the retry budget allow;
     * otherwise the request is answered.
     */
    private void retry(Request request, Attempt failed, int cost) {
        if (request.openAttempts() > 0 || request.isWaitingForOrigin()) {
            return;
        }
        long timeLeft = request.deadline - context.now() - answerMargin;
        boolean hasTime = timeLeft > request.policy.hitLatency().quantile(0.25, 0);
        if (!hasTime || !retryBudget.has(cost) || !context.dispatcher.mayAttempt(request)) {
            long retryAfter = RouterContext.HOUSEKEEPING_INTERVAL;
            context.loop.post(() -> context.dispatcher.answer(request, retryAfter));
            return;
        }
        retryBudget.spend(cost);
        if (failed.isFetch) {
            context.loop.post(() -> context.origin.fetch(request));
        } else {
            context.loop.post(() -> context.placer.place(request));
        }
    }

    /**
     * Answers a request that no server can accept now, unless one of its attempts is still open.
     */
    void cannotContinue(Request request, long retryAfter) {
        if (request.openAttempts() == 0) {
            long wantedRetryAfter = Math.max(RouterContext.HOUSEKEEPING_INTERVAL, retryAfter);
            context.loop.post(() -> context.dispatcher.answer(request, wantedRetryAfter));
        }
    }

    /**
     * Marks a request as needing no answer. It stays in the table until its last attempt has ended.
     */
    void finish(Request request) {
        request.finish();
        if (request.isWaitingForOrigin()) {
            context.loop.post(() -> context.origin.cancelled(request));
        }
        if (request.openAttempts() == 0) {
            requests.remove(request.id);
        }
        context.loop.post(() -> context.dispatcher.cancelOpenAttempts(request));
    }
}

package cairnbridge.proxy;

import cairnbridge.decision.Event;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Settings.Category;
import cairnbridge.decision.Settings.Effect;
import java.util.List;
import java.util.function.Consumer;

/**
 * Ends each request once: sends the answer that the router has chosen, fails the request if the
 * router has left it unanswered, or drops it if its client has disconnected. Used only by the
 * coordinator thread.
 */
final class RequestCompletion {
    private final List<Category> categories;
    private final ActiveRequests activeRequests;
    private final AttemptSender attemptSender;
    private final CoordinatorListeners listeners;
    private final Invariants invariants;
    private final RouterNotifier router;
    private final TickClock clock;

    /**
     * Creates an instance that sends its answers through the exchanges.
     *
     * @param categories the categories of the settings, by index
     */
    RequestCompletion(
            CoordinatorContext context, AttemptSender attemptSender, List<Category> categories) {
        this.categories = categories;
        this.activeRequests = context.activeRequests();
        this.attemptSender = attemptSender;
        this.listeners = context.listeners();
        this.invariants = context.invariants();
        this.router = context.router();
        this.clock = context.clock();
    }

    /** Sends a request's final answer, which the router has chosen. */
    void sendFinalAnswer(RequestId id, Consumer<ClientExchange> answer) {
        ActiveRequest request = activeRequests.find(id);
        if (invariants.check(
                request != null && !request.isAnswered(), "a request has one final answer")) {
            answer.accept(request.exchange());
            markAnswered(request);
        }
    }

    /** Answers a request that the router has left unanswered with an error, and drops it. */
    void failUnanswered(ActiveRequest request) {
        request.exchange().failPermanently();
        dropRequest(request);
    }

    /** Drops the request of a client that has disconnected, unless it has been answered. */
    void dropDisconnected(ClientExchange exchange) {
        ActiveRequest request = activeRequests.find(exchange);
        if (request != null && !request.isAnswered()) {
            if (isRepeatHarmful(exchange) && request.mayHaveRun()) {
                activeRequests.rememberAbandoned(request, clock.now());
            }
            dropRequest(request);
        }
    }

    /**
     * Guards against rejecting a repeated request although every attempt of the first one, whose
     * client has left, has turned out not to have run.
     */
    void forgetIfNotExecuted(ActiveRequest request) {
        if (request.isAbandoned() && !request.mayHaveRun()) {
            activeRequests.forgetAbandoned(request);
        }
    }

    private boolean isRepeatHarmful(ClientExchange exchange) {
        int category = Math.min(exchange.category.value(), categories.size() - 1);
        return categories.get(category).effect() != Effect.IDEMPOTENT;
    }

    /** Marks a request as answered, and notifies the router that it was cancelled. */
    private void dropRequest(ActiveRequest request) {
        markAnswered(request);
        router.notifyRouter(clock.now(), new Event.RequestCancelled(request.id()));
    }

    /** Marks a request as answered, and abandons its attempts that have not been sent yet. */
    void markAnswered(ActiveRequest request) {
        activeRequests.markAnswered(request);
        listeners.recovery().requestAnswered(request.exchange());
        attemptSender.abandonUnsentAttempts(request);
        activeRequests.removeIfComplete(request);
    }
}

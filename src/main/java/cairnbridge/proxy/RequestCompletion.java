package cairnbridge.proxy;

import cairnbridge.decision.Event;
import cairnbridge.decision.Ids.RequestId;
import java.util.function.Consumer;

/** Brings requests to their one final answer, or drops them without one. For the owner thread. */
final class RequestCompletion {
    private final ActiveRequests activeRequests;
    private final AttemptSender attemptSender;
    private final CoordinatorListeners listeners;
    private final Invariants invariants;
    private final RouterNotifier router;
    private final TickClock clock;

    RequestCompletion(CoordinatorContext context, AttemptSender attemptSender) {
        this.activeRequests = context.activeRequests();
        this.attemptSender = attemptSender;
        this.listeners = context.listeners();
        this.invariants = context.invariants();
        this.router = context.router();
        this.clock = context.clock();
    }

    /** Gives a request the final answer that the router has decided on. */
    void sendFinalAnswer(RequestId id, Consumer<ClientExchange> answer) {
        ActiveRequest request = activeRequests.find(id);
        if (invariants.check(
                request != null && !request.isAnswered(), "a request has one final answer")) {
            answer.accept(request.exchange());
            markAnswered(request);
        }
    }

    /** Fails a request that the router has left unanswered. */
    void failUnanswered(ActiveRequest request) {
        request.exchange().failPermanently();
        dropRequest(request);
    }

    /** Drops the request of a client that has disconnected, unless it is answered. */
    void dropDisconnected(ClientExchange exchange) {
        ActiveRequest request = activeRequests.find(exchange);
        if (request != null && !request.isAnswered()) {
            dropRequest(request);
        }
    }

    /** No answer is owed any more, and the router does not know it yet. */
    private void dropRequest(ActiveRequest request) {
        markAnswered(request);
        router.notifyRouter(clock.now(), new Event.RequestCancelled(request.id()));
    }

    /** No answer is owed for a request any more: what is not sent yet is abandoned. */
    void markAnswered(ActiveRequest request) {
        activeRequests.markAnswered(request);
        listeners.recovery().requestAnswered(request.exchange());
        attemptSender.abandonUnsentAttempts(request);
        activeRequests.removeIfComplete(request);
    }
}

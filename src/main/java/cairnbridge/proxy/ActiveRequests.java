package cairnbridge.proxy;

import cairnbridge.decision.Ids.RequestId;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The requests that are not complete yet, and the trace ids of those that are not answered yet.
 * Used only by the coordinator thread, except for {@link #unansweredCount}.
 */
final class ActiveRequests {
    private final Map<RequestId, ActiveRequest> requests = new HashMap<>();
    private final Set<String> openTraceIds = new HashSet<>();
    private final AbandonedTraceIds abandonedTraceIds = new AbandonedTraceIds();
    private long lastRequestNumber;

    /** Written only by the coordinator thread; read by any thread. */
    private volatile int unansweredCount;

    /** Returns an id that this coordinator has not assigned before. */
    RequestId nextId() {
        return new RequestId(++lastRequestNumber);
    }

    /**
     * Reserves a trace id until its request is answered; false if an open request uses it, or one
     * whose client has left may have run.
     */
    boolean claimTraceId(String traceId, long now) {
        return !abandonedTraceIds.contains(traceId, now) && openTraceIds.add(traceId);
    }

    /** Remembers the trace id of a request that may have run and whose client has left. */
    void rememberAbandoned(ActiveRequest request, long now) {
        abandonedTraceIds.add(request.exchange().traceId, now);
        request.setAbandoned(true);
    }

    /** Forgets the trace id of a request that was remembered. */
    void forgetAbandoned(ActiveRequest request) {
        abandonedTraceIds.remove(request.exchange().traceId);
        request.setAbandoned(false);
    }

    /** Adds a request whose id is assigned and whose trace id is reserved. */
    ActiveRequest add(ClientExchange exchange, long deadlineTicks) {
        ActiveRequest request = new ActiveRequest(exchange, deadlineTicks);
        requests.put(request.id(), request);
        unansweredCount = openTraceIds.size();
        return request;
    }

    /** Returns the request with this id; null if it is unknown or complete. */
    ActiveRequest find(RequestId id) {
        return requests.get(id);
    }

    /**
     * Returns the request of this exchange; null if it is unknown or complete. The id alone is not
     * enough: the warm-up has a second coordinator, which numbers its requests independently, so
     * that the exchange of a warm-up request can have the same id as a request of this coordinator.
     */
    ActiveRequest find(ClientExchange exchange) {
        ActiveRequest request = requests.get(exchange.requestId);
        return request != null && request.exchange() == exchange ? request : null;
    }

    /** An unmodifiable view of all requests that are not complete. */
    Collection<ActiveRequest> all() {
        return Collections.unmodifiableCollection(requests.values());
    }

    /** Marks a request as answered and releases its trace id. */
    void markAnswered(ActiveRequest request) {
        request.markAnswered();
        openTraceIds.remove(request.exchange().traceId);
        unansweredCount = openTraceIds.size();
    }

    /** Removes a request if it is answered and all its attempts have ended. */
    void removeIfComplete(ActiveRequest request) {
        if (request.isComplete()) {
            requests.remove(request.id());
        }
    }

    /** The number of requests that are not answered yet; any thread may call this. */
    int unansweredCount() {
        return unansweredCount;
    }
}

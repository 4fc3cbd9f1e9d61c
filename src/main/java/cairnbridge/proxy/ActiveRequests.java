package cairnbridge.proxy;

import cairnbridge.decision.Ids.RequestId;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The requests that are not complete yet, and the trace ids of those that are not answered yet. For
 * the owner thread; any thread may read the count.
 */
final class ActiveRequests {
    private final Map<RequestId, ActiveRequest> requests = new HashMap<>();
    private final Set<String> openTraceIds = new HashSet<>();
    private long lastRequestNumber;

    /** Written by the owner thread alone. */
    private volatile int unansweredCount;

    /** An id that no request of this coordinator has had. */
    RequestId nextId() {
        return new RequestId(++lastRequestNumber);
    }

    /** Claims a trace id until its request is answered; false if another request has it. */
    boolean claimTraceId(String traceId) {
        return openTraceIds.add(traceId);
    }

    /** Adds a request that has an id and has claimed its trace id. */
    ActiveRequest add(ClientExchange exchange, long deadlineTicks) {
        ActiveRequest request = new ActiveRequest(exchange, deadlineTicks);
        requests.put(request.id(), request);
        unansweredCount = openTraceIds.size();
        return request;
    }

    /** The request with this id; null if there is none or it is complete. */
    ActiveRequest find(RequestId id) {
        return requests.get(id);
    }

    /**
     * The request of this very exchange; null if there is none or it is complete. The exchange of a
     * warm-up request has an id of the warm-up's coordinator, which may be in use here as well.
     */
    ActiveRequest find(ClientExchange exchange) {
        ActiveRequest request = requests.get(exchange.requestId);
        return request != null && request.exchange() == exchange ? request : null;
    }

    /** All requests, for reading. */
    Collection<ActiveRequest> all() {
        return Collections.unmodifiableCollection(requests.values());
    }

    /** No answer is owed for a request any more. */
    void markAnswered(ActiveRequest request) {
        request.markAnswered();
        openTraceIds.remove(request.exchange().traceId);
        unansweredCount = openTraceIds.size();
    }

    /** Removes a request if it is answered and its last attempt has ended. */
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

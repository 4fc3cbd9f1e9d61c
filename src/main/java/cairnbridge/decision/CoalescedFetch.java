package cairnbridge.decision;

import java.util.ArrayList;
import java.util.List;

/**
 * One fetch of a key from the origin, shared by the request that performs it and the requests that
 * wait for its result.
 */
final class CoalescedFetch {
    private final Request leader;
    private final List<Request> followers = new ArrayList<>(2);

    CoalescedFetch(Request leader) {
        this.leader = leader;
    }

    boolean isLedBy(Request request) {
        return leader == request;
    }

    void follow(Request request) {
        followers.add(request);
    }

    List<Request> followers() {
        return followers;
    }
}

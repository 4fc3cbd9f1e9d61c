package cairnbridge.decision;

import java.util.ArrayList;
import java.util.List;

/** One fetch of a key from the origin: the request that does it, and those that wait for it. */
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

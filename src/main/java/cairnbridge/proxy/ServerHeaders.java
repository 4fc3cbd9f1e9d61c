package cairnbridge.proxy;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;

/** Reads the headers by which servers tell what became of a request. Stateless, thread-safe. */
final class ServerHeaders {
    private static final String NEVER_RAN_HEADER = "X-Never-Ran";
    private static final String NEVER_RAN = "1";
    private static final String CACHE_STATUS_HEADER = "X-Store";

    private ServerHeaders() {}

    /** Whether the server states that it has not executed the request. */
    static boolean neverRan(HttpResponse response) {
        Header header = response.getFirstHeader(NEVER_RAN_HEADER);
        return header != null && header.getValue().equals(NEVER_RAN);
    }

    /** 1 for a hit, 2 or 3 for a miss, 0 if the server states none of them. */
    static int cacheStatus(HttpResponse response) {
        Header header = response.getFirstHeader(CACHE_STATUS_HEADER);
        if (header == null) {
            return 0;
        }
        return switch (header.getValue()) {
            case "hit" -> 1;
            case "miss" -> 2;
            case "pending" -> 3;
            default -> 0;
        };
    }
}

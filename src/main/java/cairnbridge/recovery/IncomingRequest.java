package cairnbridge.recovery;

import cairnbridge.decision.Ids.CategoryId;
import cairnbridge.decision.Ids.KeyId;
import cairnbridge.decision.Ids.RequestId;

/**
 * A new request, as far as recovery looks at it.
 *
 * @param request its id
 * @param category its class
 * @param key what it is about; null if it names nothing
 * @param write whether it writes
 * @param repeat whether the client marks it as a retry
 * @param expires when the client stops waiting
 */
public record IncomingRequest(
        RequestId request,
        CategoryId category,
        KeyId key,
        boolean write,
        boolean repeat,
        long expires) {
    /** Whether it reads a key. */
    boolean isKeyedRead() {
        return !write && key != null;
    }
}

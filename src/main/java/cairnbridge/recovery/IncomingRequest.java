package cairnbridge.recovery;

import cairnbridge.decision.Ids.CategoryId;
import cairnbridge.decision.Ids.KeyId;
import cairnbridge.decision.Ids.RequestId;

/**
 * A new request, as far as recovery looks at it.
 *
 * @param id its id
 * @param category its class
 * @param key what it is about; null if it names nothing
 * @param isWrite whether it writes
 * @param isRetry whether the client marks it as a retry
 * @param deadline when the client stops waiting
 */
public record IncomingRequest(
        RequestId id,
        CategoryId category,
        KeyId key,
        boolean isWrite,
        boolean isRetry,
        long deadline) {
    /** Whether it reads a key. */
    boolean isKeyedRead() {
        return !isWrite && key != null;
    }
}

package cairnbridge.recovery;

import cairnbridge.decision.Ids.CategoryId;
import cairnbridge.decision.Ids.KeyId;
import cairnbridge.decision.Ids.RequestId;

/**
 * The properties of a new request on which its admission during recovery depends.
 *
 * @param id the id of the request
 * @param category the class of the request
 * @param key the key that the request reads or writes; null if it has none
 * @param isWrite whether the request is a write
 * @param isRetry whether the client has marked the request as a retry
 * @param deadline when the client stops waiting for an answer
 */
public record IncomingRequest(
        RequestId id,
        CategoryId category,
        KeyId key,
        boolean isWrite,
        boolean isRetry,
        long deadline) {
    /** Whether the request is a read of a key. */
    boolean isKeyedRead() {
        return !isWrite && key != null;
    }
}

package cairnbridge.proxy;

import cairnbridge.decision.Ids.CategoryId;
import cairnbridge.decision.Ids.KeyId;

/**
 * The parts of a request head that the proxy uses.
 *
 * @param method GET or PUT
 * @param target the path and query, without scheme and host
 * @param traceId the client's id of the request; not empty
 * @param idempotencyKey the header's value, which is forwarded unchanged; null if there is none
 * @param category the category named by the first path segment
 * @param key the hash of the last path segment; null if the path has no second segment
 * @param write whether the request changes the value
 * @param clientRetry whether the client marks the request as a retry
 * @param ttlTicks how long the client waits for the response, in ticks; more than 0
 */
public record ParsedRequest(
        String method,
        String target,
        String traceId,
        String idempotencyKey,
        CategoryId category,
        KeyId key,
        boolean write,
        boolean clientRetry,
        long ttlTicks) {}

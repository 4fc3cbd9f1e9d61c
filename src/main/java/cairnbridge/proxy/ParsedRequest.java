package cairnbridge.proxy;

import cairnbridge.decision.Ids.CategoryId;
import cairnbridge.decision.Ids.KeyId;

/**
 * What the proxy needs of a request head.
 *
 * @param method GET or PUT
 * @param target the path and query, without scheme and host
 * @param traceId the id that the client gave it; not empty
 * @param idempotencyKey the header's value as it is forwarded; null if there is none
 * @param category the category that the path begins with
 * @param key the hash of the last path segment; null if the path has no second one
 * @param write whether the request changes the value
 * @param clientRetry whether the client says that it has sent the request before
 * @param ttlTicks how long the client waits for its answer, in ticks; more than 0
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

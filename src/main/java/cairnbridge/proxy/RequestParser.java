package cairnbridge.proxy;

import cairnbridge.decision.Ids.CategoryId;
import cairnbridge.decision.Ids.KeyId;
import cairnbridge.hash.Fnv1a;
import cairnbridge.time.Ticks;
import java.util.Optional;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;

/** Reads the parts of a request head that the proxy uses. Stateless and thread-safe. */
public final class RequestParser {
    /** The client's id of a request; unique among the requests that are not answered yet. */
    public static final String TRACE_ID_HEADER = "X-Trace-Id";

    /** How long the client waits for the response; see {@link #parseTtlTicks} for the format. */
    public static final String TTL_HEADER = "X-Expires-In";

    /** Forwarded unchanged; a request with this header may be sent to servers more than once. */
    public static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

    /** The prefix of the paths that the proxy answers itself. */
    private static final String PROXY_PATH_PREFIX = "/-/";

    private static final String RETRY_HEADER = "X-Second-Try";
    private static final String RETRY_VALUE = "1";
    private static final String WRITE_METHOD = "PUT";
    private static final String READ_METHOD = "GET";
    private static final String SCHEME_SEPARATOR = "://";
    private static final int MAX_TTL_DIGITS = 12;
    private static final int DECIMAL_BASE = 10;
    private static final long MICROS_PER_TICK = 1_000 / Ticks.MILLISECOND;

    private RequestParser() {}

    /** Whether the proxy answers the request itself, at once. */
    static boolean isForProxy(HttpRequest request) {
        return pathOf(request.getRequestUri()).startsWith(PROXY_PATH_PREFIX);
    }

    /**
     * Reads the headers and the path that routing needs; other headers are not interpreted.
     *
     * @param target the path and query, see {@link #pathOf}
     */
    static ParsedRequest parse(HttpRequest request, String target, RequestContext context)
            throws MalformedRequestException {
        String traceId = headerValue(request, TRACE_ID_HEADER);
        if (traceId == null || traceId.isEmpty()) {
            throw new MalformedRequestException(TRACE_ID_HEADER + " is missing");
        }
        long ttlTicks = parseTtlTicks(headerValue(request, TTL_HEADER));
        if (ttlTicks <= 0) {
            throw new MalformedRequestException(TTL_HEADER + " is missing or no span");
        }
        String method = request.getMethod();
        boolean write = method.equals(WRITE_METHOD);
        if (!write && !method.equals(READ_METHOD)) {
            throw new MalformedRequestException("method is neither GET nor PUT");
        }
        String path = withoutQuery(target);
        return new ParsedRequest(
                method,
                target,
                traceId,
                headerValue(request, IDEMPOTENCY_KEY_HEADER),
                parseCategory(path, context),
                parseKey(path),
                write,
                RETRY_VALUE.equals(headerValue(request, RETRY_HEADER)),
                ttlTicks);
    }

    /**
     * Returns the path and query of a request target. Guards against forwarding the absolute form,
     * which every HTTP server has to accept: its scheme and host are removed.
     */
    static String pathOf(String target) {
        int schemeEnd = target.startsWith("/") ? -1 : target.indexOf(SCHEME_SEPARATOR);
        int pathStart =
                schemeEnd < 0 ? 0 : target.indexOf('/', schemeEnd + SCHEME_SEPARATOR.length());
        return pathStart < 0 ? "/" : target.substring(pathStart);
    }

    /**
     * Parses a TTL header, a number and its unit, m for milliseconds or u for microseconds, to
     * ticks.
     *
     * @param text may be null
     * @return the TTL in ticks; 0 if the text is not a TTL, or is shorter than a tick
     */
    static long parseTtlTicks(String text) {
        int digits = text == null ? 0 : text.length() - 1;
        if (digits < 1 || digits > MAX_TTL_DIGITS) {
            return 0;
        }
        long number = 0;
        for (int i = 0; i < digits; i++) {
            int digit = text.charAt(i) - '0';
            if (digit < 0 || digit >= DECIMAL_BASE) {
                return 0;
            }
            number = number * DECIMAL_BASE + digit;
        }
        return switch (text.charAt(digits)) {
            case 'm' -> Ticks.fromMillis(number);
            case 'u' -> number / MICROS_PER_TICK;
            default -> 0;
        };
    }

    private static String withoutQuery(String target) {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    private static CategoryId parseCategory(String path, RequestContext context)
            throws MalformedRequestException {
        Optional<CategoryId> category = Optional.empty();
        if (path.startsWith("/")) {
            int end = path.indexOf('/', 1);
            category = context.category(path.substring(1, end < 0 ? path.length() : end));
        }
        if (category.isEmpty()) {
            throw new MalformedRequestException("unknown category");
        }
        return category.get();
    }

    private static KeyId parseKey(String path) {
        if (path.indexOf('/', 1) < 0) {
            return null;
        }
        String lastSegment = path.substring(path.lastIndexOf('/') + 1);
        return lastSegment.isEmpty() ? null : new KeyId(Fnv1a.hash(lastSegment));
    }

    private static String headerValue(HttpRequest request, String name) {
        Header header = request.getFirstHeader(name);
        return header == null ? null : header.getValue();
    }
}

package cairnbridge.proxy;

import java.io.IOException;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/**
 * Parses the request heads of one client connection, and rejects requests that are pipelined or
 * whose length is ambiguous. Used on the reactor's thread.
 */
final class RequestHeadParser extends DefaultHttpRequestParser<HttpRequest> {
    private final BooleanSupplier requestOpen;
    private final Runnable onPipelined;
    private final HeadInput headInput;

    /**
     * Creates a parser for one connection.
     *
     * @param requestOpen whether a request on the connection has not been answered yet, or the last
     *     response of the connection has begun
     * @param onPipelined called when bytes follow a request that the proxy answers itself
     * @param headMemory holds the memory of the latest head
     */
    RequestHeadParser(BooleanSupplier requestOpen, Runnable onPipelined, HeadMemory headMemory) {
        super(HttpSettings.CONFIG, DefaultHttpRequestFactory.INSTANCE);
        this.requestOpen = requestOpen;
        this.onPipelined = onPipelined;
        headInput = new HeadInput(HttpSettings.USED_REQUEST_HEADERS, headMemory);
    }

    /** The library answers an exception with an error response and closes the connection. */
    @Override
    public HttpRequest parse(SessionInputBuffer buffer, boolean ended)
            throws IOException, HttpException {
        // Guards against hundreds of pipelined requests, and against the bytes that follow a
        // malformed request.
        if (buffer.hasData() && requestOpen.getAsBoolean()) {
            throw new ProtocolException("one request at a time");
        }
        HttpRequest request =
                MessageHeadParser.requireComplete(
                        super.parse(headInput.over(buffer), false), buffer, ended);
        // Guards against request smuggling, where the body of one request hides another request.
        if (request != null) {
            headInput.headComplete();
            MessageFraming.requireUnambiguousLength(request, true);
            if (buffer.hasData() && RequestParser.isForProxy(request)) {
                onPipelined.run();
            }
        }
        return request;
    }
}

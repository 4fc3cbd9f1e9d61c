package cairnbridge.proxy;

import java.io.IOException;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/**
 * Parses the request heads of one client connection, and rejects each whose end could be read in
 * two ways. For the reactor thread.
 */
public final class RequestHeadParser extends DefaultHttpRequestParser<HttpRequest> {
    private final BooleanSupplier requestOpen;

    /**
     * A parser for one connection.
     *
     * @param requestOpen whether a request is open on this connection, or its last answer was given
     */
    public RequestHeadParser(Http1Config httpConfig, BooleanSupplier requestOpen) {
        super(httpConfig, DefaultHttpRequestFactory.INSTANCE);
        this.requestOpen = requestOpen;
    }

    /** What it throws is answered with its status, and the connection ends with that answer. */
    @Override
    public HttpRequest parse(SessionInputBuffer buffer, boolean ended)
            throws IOException, HttpException {
        // Guards against hundreds of requests at once, and against what follows one that was
        // malformed.
        if (buffer.hasData() && requestOpen.getAsBoolean()) {
            throw new ProtocolException("one request at a time");
        }
        HttpRequest request =
                MessageHeadParser.requireComplete(super.parse(buffer, false), buffer, ended);
        // Guards against a request that hides in the body of another.
        if (request != null) {
            MessageFraming.requireClearLength(request, true);
        }
        return request;
    }
}

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
 * Reads the heads of one client's requests and lets none pass whose end could be read in two ways.
 */
final class RequestHeadParser extends DefaultHttpRequestParser<HttpRequest> {
    private final BooleanSupplier requestOpen;

    /**
     * busy tells that a request is open on this connection, or that its last answer has been given.
     */
    RequestHeadParser(Http1Config http, BooleanSupplier busy) {
        super(http, DefaultHttpRequestFactory.INSTANCE);
        this.requestOpen = busy;
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
        HttpRequest request = super.parse(buffer, false);
        MessageFraming.requireCompleteHead(request, buffer, ended);
        // Guards against a request that hides in the body of another.
        if (request != null) {
            MessageFraming.requireClearLength(request, true);
        }
        return request;
    }
}

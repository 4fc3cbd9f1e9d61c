package cairnbridge.proxy;

import java.io.IOException;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/**
 * Reads the heads of a server's answers; what it throws ends the connection, and the exchange as
 * broken.
 */
final class ResponseHeadParser extends DefaultHttpResponseParser<HttpResponse> {
    private final BooleanSupplier awaitingResponse;

    /** asked tells that a request is out on this connection. */
    ResponseHeadParser(Http1Config http, BooleanSupplier asked) {
        super(http, DefaultHttpResponseFactory.INSTANCE);
        this.awaitingResponse = asked;
    }

    @Override
    public HttpResponse parse(SessionInputBuffer buffer, boolean ended)
            throws IOException, HttpException {
        // Guards against bytes past an answer, which the next push would take for its own.
        if (buffer.hasData() && !awaitingResponse.getAsBoolean()) {
            throw new ProtocolException("bytes that nobody asked for");
        }
        HttpResponse response = super.parse(buffer, false);
        MessageFraming.requireCompleteHead(response, buffer, ended);
        // Guards against spoilt answers: without a length nothing tells a whole one from one that
        // broke off.
        if (response != null && response.getCode() >= HttpStatus.SC_OK) {
            MessageFraming.requireClearLength(response);
        }
        return response;
    }
}

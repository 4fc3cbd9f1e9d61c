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
 * Parses the response heads of one server connection. What it throws ends the connection, and the
 * exchange as broken. For the reactor thread.
 */
public final class ResponseHeadParser extends DefaultHttpResponseParser<HttpResponse> {
    private final BooleanSupplier awaitingResponse;

    /**
     * A parser for one connection.
     *
     * @param awaitingResponse whether a request has been sent on this connection that has no
     *     complete response yet
     */
    public ResponseHeadParser(Http1Config httpConfig, BooleanSupplier awaitingResponse) {
        super(httpConfig, DefaultHttpResponseFactory.INSTANCE);
        this.awaitingResponse = awaitingResponse;
    }

    @Override
    public HttpResponse parse(SessionInputBuffer buffer, boolean ended)
            throws IOException, HttpException {
        // Guards against bytes past an answer, which the next attempt would take for its own.
        if (buffer.hasData() && !awaitingResponse.getAsBoolean()) {
            throw new ProtocolException("bytes that nobody asked for");
        }
        HttpResponse response =
                MessageHeadParser.requireComplete(super.parse(buffer, false), buffer, ended);
        // Guards against spoilt answers: without a length nothing tells a whole one from one that
        // broke off.
        if (response != null && response.getCode() >= HttpStatus.SC_OK) {
            MessageFraming.requireClearLength(response);
        }
        return response;
    }
}

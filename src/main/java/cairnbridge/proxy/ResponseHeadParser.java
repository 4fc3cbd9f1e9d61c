package cairnbridge.proxy;

import java.io.IOException;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/**
 * Parses the response heads of one server connection. An exception closes the connection and fails
 * its exchange. Used on the reactor's thread.
 */
final class ResponseHeadParser extends DefaultHttpResponseParser<HttpResponse> {
    private final BooleanSupplier awaitingResponse;
    private final HeadInput headInput;

    /**
     * Creates a parser for one connection.
     *
     * @param awaitingResponse whether a request has been sent on this connection whose response is
     *     not complete yet
     * @param headMemory holds the memory of the latest head
     */
    ResponseHeadParser(BooleanSupplier awaitingResponse, HeadMemory headMemory) {
        super(HttpSettings.CONFIG, DefaultHttpResponseFactory.INSTANCE);
        this.awaitingResponse = awaitingResponse;
        headInput = new HeadInput(HttpSettings.USED_RESPONSE_HEADERS, headMemory);
    }

    @Override
    public HttpResponse parse(SessionInputBuffer buffer, boolean ended)
            throws IOException, HttpException {
        // Guards against bytes after a response, which the next attempt would read as its own.
        if (buffer.hasData() && !awaitingResponse.getAsBoolean()) {
            throw new ProtocolException("data received without a pending request");
        }
        HttpResponse response =
                MessageHeadParser.requireComplete(
                        super.parse(headInput.over(buffer), false), buffer, ended);
        if (response != null) {
            headInput.headComplete();
        }
        // Guards against truncated responses: without a length, a truncated response cannot be told
        // from a complete one.
        if (response != null && response.getCode() >= HttpStatus.SC_OK) {
            MessageFraming.requireUnambiguousLength(response);
        }
        return response;
    }
}

package cairnbridge.proxy;

import java.io.IOException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * What all requests that the proxy sends have alike: one body at most, and an answer read as it
 * comes.
 */
abstract class UpstreamExchange implements AsyncClientExchangeHandler {
    private static final int WINDOW_BYTES = BufferedBody.MAX_BYTES;
    private MessageBody outgoingBody = new ByteArrayBody(null);

    /** Set before anything is sent on it; null as long as there is none. */
    volatile UpstreamConnection connection;

    /** On the reactor, as its bytes go out: from now on an answer is waited for. */
    void startRequest() throws IOException {
        connection.startRequest(this);
    }

    /** On the reactor: the answer has come to its end. */
    void completeResponse() {
        connection.completeResponse();
    }

    void setBody(MessageBody bytes) {
        outgoingBody = bytes;
    }

    @Override
    public int available() {
        return outgoingBody.availableBytes();
    }

    @Override
    public void produce(DataStreamChannel out) throws IOException {
        if (outgoingBody.writeTo(out)) {
            requestWritten();
        }
    }

    /** How much has come of an answer that passes through and may come faster; else under 0. */
    long streamedBytesIfReadable() {
        return -1;
    }

    /** The request has been handed over to its last byte. */
    void requestWritten() {
        // Most need not know.
    }

    @Override
    public void updateCapacity(CapacityChannel capacity) throws IOException {
        capacity.update(WINDOW_BYTES);
    }

    @Override
    public void consumeInformation(HttpResponse response, HttpContext context) {
        // A 1xx answer is not the answer.
    }

    @Override
    public void cancel() {
        failed(null);
    }

    @Override
    public void releaseResources() {
        // All state goes with the object.
    }
}

package cairnbridge.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * Base class of the requests that the proxy sends to servers. It writes the request body, if there
 * is one, and keeps the state of the connection up to date. Subclasses process the response.
 */
abstract class UpstreamExchange implements AsyncClientExchangeHandler {
    private static final int WINDOW_BYTES = BufferedBody.MAX_BYTES;
    private MessageBody outgoingBody = new ByteArrayBody(null);

    /** The connection that carries the request, set before anything is sent; null until then. */
    volatile UpstreamConnection connection;

    /**
     * Marks the connection as awaiting a response. Called on the reactor thread just before the
     * request is written.
     *
     * @throws IOException if the connection is stale
     */
    void startRequest() throws IOException {
        connection.startRequest(this);
    }

    /** Marks the response as complete; called on the reactor thread. */
    void completeResponse() {
        connection.completeResponse();
    }

    void setBody(MessageBody body) {
        outgoingBody = body;
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

    /**
     * The number of bytes received of a streamed response if more may be read; else less than 0.
     */
    long streamedBytesIfReadable() {
        return -1;
    }

    /**
     * Writes bytes of the request, as many as the socket accepts.
     *
     * @return the number of bytes written
     */
    int write(ByteBuffer source, WritableByteChannel socket) throws IOException {
        return socket.write(source);
    }

    /** Called once the last byte of the request has been passed to the connection. */
    void requestWritten() {
        // Only attempts need this notification.
    }

    @Override
    public void updateCapacity(CapacityChannel capacity) throws IOException {
        capacity.update(WINDOW_BYTES);
    }

    @Override
    public void consumeInformation(HttpResponse response, HttpContext context) {
        // A 1xx response is interim: the final response follows.
    }

    @Override
    public void cancel() {
        failed(null);
    }

    @Override
    public void releaseResources() {
        // An exchange holds no resources besides memory.
    }
}

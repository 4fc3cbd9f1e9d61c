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
abstract class Call implements AsyncClientExchangeHandler {
    private static final int WINDOW = Gathered.MOST;
    private Body body = new RemainingBytes(null);

    /** Set before anything is sent on it; null as long as there is none. */
    volatile Connection connection;

    /** On the reactor, as its bytes go out: from now on an answer is waited for. */
    void begins() throws IOException {
        connection.begins(this);
    }

    /** On the reactor: the answer has come to its end. */
    void answered() {
        connection.answered();
    }

    void body(Body bytes) {
        body = bytes;
    }

    @Override
    public int available() {
        return body.left();
    }

    @Override
    public void produce(DataStreamChannel out) throws IOException {
        if (body.write(out)) {
            written();
        }
    }

    /** How much has come of an answer that passes through and may come faster; else under 0. */
    long hungry() {
        return -1;
    }

    /** The request has been handed over to its last byte. */
    void written() {
        // Most need not know.
    }

    @Override
    public void updateCapacity(CapacityChannel capacity) throws IOException {
        capacity.update(WINDOW);
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

package cairnbridge.proxy;

import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/**
 * The attachment of a connection that the proxy opens. It is notified whether the connection is
 * established, and creates the handler of its events. Called on the reactor's thread, except that a
 * failure or a cancellation is reported on the thread that caused it.
 */
public interface ConnectionAttachment extends FutureCallback<IOSession> {
    /** Creates the handler of the connection's events; called once its socket is open. */
    IOEventHandler createHandler(ProtocolIOSession session);
}

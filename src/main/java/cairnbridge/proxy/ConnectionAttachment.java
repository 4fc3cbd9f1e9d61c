package cairnbridge.proxy;

import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/**
 * What belongs to a connection that the proxy opens: it is told whether the connection came up, and
 * handles its events. Called on the reactor's thread, but for a failure or a cancellation, which
 * come on the thread that caused them.
 */
public interface ConnectionAttachment extends FutureCallback<IOSession> {
    /** Creates the handler of the connection's events, once its socket is open. */
    IOEventHandler createHandler(ProtocolIOSession session);
}

package cairnbridge.proxy;

import java.io.IOException;
import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Directs new connections to another process that listens on the same address, before this process
 * closes its listener. Guards against resets: the system resets the connections that are in the
 * queue of a listener when it closes, and one may arrive between the last accept and the close.
 */
final class ConnectionDiverter {
    private static final Logger LOG = Logger.getLogger(ConnectionDiverter.class.getName());

    /** The wait for connections whose TCP handshake with this process's listener has begun. */
    private static final long SETTLE_MILLIS = 50;

    private ConnectionDiverter() {}

    /**
     * Loads the classes and libraries that {@link #divert} needs. Guards against a handover that
     * begins late because the first call of a native library is slow.
     */
    static void prepare(Acceptor acceptor) {
        ListenerFilter.prepare();
        try {
            Optional<ListenerGroup> group = ListenerGroup.find(acceptor.address());
            LOG.log(Level.FINE, "listeners on the address: {0}", group);
        } catch (IOException e) {
            LOG.log(Level.FINE, "cannot list the listeners: {0}", e.toString());
        }
    }

    /**
     * Diverts new connections from an acceptor, which continues to accept meanwhile; returns once
     * it receives no new connections. Changes nothing if no other process listens on the address,
     * or if the system does not support it.
     */
    static void divert(Acceptor acceptor) throws InterruptedException {
        try {
            Optional<ListenerGroup> group = ListenerGroup.find(acceptor.address());
            if (group.isPresent() && group.get().size() > 1) {
                divertWithin(group.get(), acceptor);
            }
        } catch (IOException e) {
            LOG.log(Level.WARNING, "new connections are not diverted: {0}", e.toString());
        }
    }

    /**
     * Ends a diversion that another process has begun, once that process listens no more. Guards
     * against a filter that stays attached, and gives every new connection to a listener that is
     * opened later.
     */
    static void endDiversion(Acceptor acceptor) {
        try {
            Optional<ListenerGroup> group = ListenerGroup.find(acceptor.address());
            if (group.isPresent() && ListenerFilter.detach(group.get().ownDescriptor())) {
                LOG.info("new connections are shared by all processes again");
            }
        } catch (IOException e) {
            LOG.log(Level.WARNING, "new connections may stay diverted: {0}", e.toString());
        }
    }

    /**
     * Selects one listener after the other, from the latest, until this process receives no new
     * connections: the system does not show which listener belongs to which process.
     */
    private static void divertWithin(ListenerGroup group, Acceptor acceptor)
            throws IOException, InterruptedException {
        for (int index = group.size() - 1; index >= 0; index--) {
            ListenerFilter.selectMember(group.ownDescriptor(), index);
            if (!acceptor.receivesNewConnections()) {
                LOG.info("new connections are diverted to another process");
                Thread.sleep(SETTLE_MILLIS);
                return;
            }
        }
        throw new IOException("the system selects no other listener");
    }
}

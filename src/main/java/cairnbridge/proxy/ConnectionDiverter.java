package cairnbridge.proxy;

import java.io.IOException;
import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Has the system give new connections to another process that listens on the same address, before
 * this process closes its own listener. Guards against resets: what is in the queue of a listener
 * as that closes is reset, and a connection may come between the last accept and the close.
 */
final class ConnectionDiverter {
    private static final Logger LOG = Logger.getLogger(ConnectionDiverter.class.getName());

    /** For connections that were being established at this process's listener. */
    private static final long SETTLE_MILLIS = 50;

    private ConnectionDiverter() {}

    /**
     * Loads all that {@link #divert} needs. Guards against a handover that begins late, as the
     * first call of a library takes its time.
     */
    static void prepare(Acceptor acceptor) {
        ListenerFilter.prepare();
        try {
            Optional<ListenerGroup> group = ListenerGroup.find(acceptor.address());
            LOG.log(Level.FINE, "the listeners of the address: {0}", group);
        } catch (IOException e) {
            LOG.log(Level.FINE, "the listeners are not known: {0}", e.toString());
        }
    }

    /**
     * Diverts new connections from an acceptor that goes on accepting meanwhile; returns once none
     * comes any more. Where no other process listens, or the system cannot do it, nothing changes.
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

    /** Tries the latest listener first; which one is this process's own the system does not say. */
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
        throw new IOException("the system gives them to no other listener");
    }
}

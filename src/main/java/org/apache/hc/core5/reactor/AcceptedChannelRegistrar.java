package org.apache.hc.core5.reactor;

import java.nio.channels.SocketChannel;

/**
 * Registers connections with a reactor that has not accepted them itself. The class is in the
 * library's package to use its package-private members: the library accepts connections only on
 * sockets that it opens itself, and does not set SO_REUSEPORT on them.
 */
public final class AcceptedChannelRegistrar {
    private AcceptedChannelRegistrar() {}

    /**
     * Registers an accepted connection with one of the reactor's workers.
     *
     * @param attachment passed to the reactor's event handler factory
     */
    public static void register(
            DefaultConnectingIOReactor reactor, SocketChannel accepted, Object attachment) {
        reactor.selectWorker().enqueueChannel(new ChannelEntry(accepted, attachment));
    }
}

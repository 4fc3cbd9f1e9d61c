package cairnbridge.admin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;

/** Opens the listening sockets of the administration endpoint and of the client listener. */
public final class ListeningSocket {
    private ListeningSocket() {}

    /**
     * Binds a non-blocking socket and registers it for accepting.
     *
     * @param backlog the maximum number of pending connections; 0 for the system default
     * @param reusePort whether other processes may listen on the same address (SO_REUSEPORT)
     * @param receiveBufferBytes the receive buffer of accepted connections; 0 for one that the
     *     system adapts
     * @param selector the selector to register with; closed if the address cannot be bound
     * @throws IOException if the address cannot be bound; the message contains the address
     */
    public static ServerSocketChannel open(
            InetSocketAddress address,
            int backlog,
            boolean reusePort,
            int receiveBufferBytes,
            Selector selector)
            throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        try {
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            server.setOption(StandardSocketOptions.SO_REUSEPORT, reusePort);
            if (receiveBufferBytes > 0) {
                server.setOption(StandardSocketOptions.SO_RCVBUF, receiveBufferBytes);
            }
            server.bind(address, backlog);
            server.configureBlocking(false);
            server.register(selector, SelectionKey.OP_ACCEPT);
            return server;
        } catch (IOException e) {
            server.close();
            selector.close();
            throw new IOException("cannot listen on " + address + ": " + e.getMessage(), e);
        }
    }
}

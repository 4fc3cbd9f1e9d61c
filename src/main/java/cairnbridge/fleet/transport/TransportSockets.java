package cairnbridge.fleet.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;

/** The selector of a transport, and its UDP and TCP sockets on one port. */
final class TransportSockets implements AutoCloseable {
    /** The most ports tried with port 0, where the TCP port of the same number may be taken. */
    private static final int BIND_ATTEMPTS = 16;

    private static final int RECEIVE_BUFFER_BYTES = 1 << 20;

    final Selector selector;
    final DatagramChannel datagrams;
    final ServerSocketChannel server;

    private TransportSockets(
            Selector selector, DatagramChannel datagrams, ServerSocketChannel server) {
        this.selector = selector;
        this.datagrams = datagrams;
        this.server = server;
    }

    /** Binds both sockets; an {@link IOException} names the address that is not available. */
    static TransportSockets bind(InetSocketAddress address, int backlog) throws IOException {
        Selector selector = Selector.open();
        ServerSocketChannel server = ServerSocketChannel.open();
        try {
            int attempts = address.getPort() == 0 ? BIND_ATTEMPTS : 1;
            DatagramChannel datagrams = bindBoth(address, backlog, server, attempts);
            datagrams.configureBlocking(false);
            server.configureBlocking(false);
            datagrams.register(selector, SelectionKey.OP_READ);
            server.register(selector, SelectionKey.OP_ACCEPT);
            return new TransportSockets(selector, datagrams, server);
        } catch (IOException e) {
            server.close();
            selector.close();
            throw new IOException("cannot listen on " + address + ": " + e.getMessage(), e);
        }
    }

    private static DatagramChannel bindBoth(
            InetSocketAddress address, int backlog, ServerSocketChannel server, int attempts)
            throws IOException {
        DatagramChannel datagrams = DatagramChannel.open();
        try {
            datagrams.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
            datagrams.bind(address);
            int port = ((InetSocketAddress) datagrams.getLocalAddress()).getPort();
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            server.bind(new InetSocketAddress(address.getAddress(), port), backlog);
            return datagrams;
        } catch (IOException e) {
            datagrams.close();
            if (attempts <= 1) {
                throw e;
            }
            return bindBoth(address, backlog, server, attempts - 1);
        }
    }

    /** The port of both sockets. */
    int port() throws IOException {
        return ((InetSocketAddress) datagrams.getLocalAddress()).getPort();
    }

    @Override
    public void close() throws IOException {
        try (selector;
                datagrams;
                server) {
            // Closes all three, even if closing one of them throws.
        }
    }
}

package cairnbridge.fleet.transport;

import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.member.Packet;
import cairnbridge.time.Ticks;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/**
 * Sends and receives packets as datagrams; sending is limited in bytes per second. A datagram that
 * cannot be sent is dropped, as if the network had lost it. Used by the transport's thread only.
 */
final class DatagramLink {
    /** The most datagrams received in one iteration of the event loop. */
    private static final int RECEIVE_BATCH = 256;

    private final TransportSettings.Address address;
    private final TransportSockets sockets;
    private final PacketFramer framer;
    private final TransportMetrics metrics;
    private final ByteRateLimiter rateLimiter;
    private final int maxPacketBytes;
    private final ByteBuffer datagram = ByteBuffer.allocateDirect(PacketFramer.MAX_DATAGRAM_BYTES);

    /**
     * Creates a link over the transport's datagram socket.
     *
     * @param maxDatagramBytes the longest datagram to send, including the frame's header and
     *     authentication code
     */
    DatagramLink(
            TransportSettings.Address address,
            TransportSockets sockets,
            PacketFramer framer,
            TransportMetrics metrics,
            ByteRateLimiter rateLimiter,
            int maxDatagramBytes) {
        this.address = address;
        this.sockets = sockets;
        this.framer = framer;
        this.metrics = metrics;
        this.rateLimiter = rateLimiter;
        maxPacketBytes =
                maxDatagramBytes - FrameAuthenticator.HEADER_BYTES - FrameAuthenticator.MAC_BYTES;
    }

    /** Passes the packets that have arrived to a consumer, at most {@link #RECEIVE_BATCH}. */
    void receive(Consumer<Packet> consumer) throws IOException {
        for (int i = 0; i < RECEIVE_BATCH; i++) {
            datagram.clear();
            SocketAddress from = sockets.datagrams.receive(datagram);
            if (from == null) {
                return;
            }
            datagram.flip();
            metrics.countReceived(datagram.remaining());
            try {
                consumer.accept(framer.decodeDatagram(datagram));
            } catch (RejectedFrameException e) {
                metrics.countRejection(e.reason());
            }
        }
    }

    /** Sends a packet, encoded in the given protocol version. */
    void send(Endpoint to, Packet packet, int version) {
        ByteBuffer frame = framer.encode(packet, version, maxPacketBytes);
        int bytes = frame.remaining();
        if (!rateLimiter.tryAcquire(bytes, Ticks.now())) {
            metrics.countOverLimit();
            return;
        }
        try {
            InetSocketAddress remote = address.routeTo(to).toSocketAddress();
            if (sockets.datagrams.send(frame, remote) > 0) {
                metrics.countSent(bytes);
            } else {
                metrics.countFailure();
            }
        } catch (IOException | IllegalArgumentException e) {
            metrics.countFailure(); // Same effect as a datagram lost in the network.
        }
    }
}

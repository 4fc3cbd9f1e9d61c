package cairnbridge.fleet.transport;

import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.member.Packet;
import cairnbridge.time.Ticks;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;

/** The open calls of a member, incoming and outgoing. Used by the transport's thread only. */
final class StreamCalls {
    /** The most calls, incoming and outgoing, open at a time. */
    static final int MAX_CALLS = 64;

    private static final long TIMEOUT = 2 * Ticks.SECOND;
    private static final int MAX_FRAME_BYTES = 8 << 20;

    private final TransportSettings.Address address;
    private final TransportSockets sockets;
    private final PacketFramer framer;
    private final TransportMetrics metrics;
    private final StreamCall.Handler handler;
    private final LongConsumer startFailureHandler;
    private final List<StreamCall> calls = new ArrayList<>();

    /**
     * Creates an empty set of calls.
     *
     * @param handler handles the events of every call; must {@link #remove} a closed call
     * @param startFailureHandler receives the id of an outgoing call that could not be started
     */
    StreamCalls(
            TransportSettings.Address address,
            TransportSockets sockets,
            PacketFramer framer,
            TransportMetrics metrics,
            StreamCall.Handler handler,
            LongConsumer startFailureHandler) {
        this.address = address;
        this.sockets = sockets;
        this.framer = framer;
        this.metrics = metrics;
        this.handler = handler;
        this.startFailureHandler = startFailureHandler;
    }

    /** Accepts all pending connections. */
    void accept() throws IOException {
        for (SocketChannel channel = acceptNext(); channel != null; channel = acceptNext()) {
            if (calls.size() >= MAX_CALLS) {
                // Guards against unauthenticated clients that hold any number of connections:
                // each call times out only after two seconds.
                channel.close();
                continue;
            }
            StreamCall call = newCall(channel, 0, true);
            calls.add(call);
            call.awaitRequest(sockets.selector);
        }
    }

    /** Accepts the next pending connection; null if there is none or accepting fails. */
    private SocketChannel acceptNext() {
        try {
            return sockets.server.accept();
        } catch (IOException e) {
            metrics.countFailure(); // Out of file descriptors; retried when the server socket is
            // selected again.
            return null;
        }
    }

    /** Connects to another member and sends a packet. */
    void begin(long callId, Endpoint to, Packet packet) {
        if (calls.size() >= MAX_CALLS) {
            startFailureHandler.accept(callId);
            return;
        }
        try {
            InetSocketAddress remote = address.routeTo(to).toSocketAddress();
            InetSocketAddress local = new InetSocketAddress(address.bind().getAddress(), 0);
            StreamCall call = newCall(SocketChannel.open(), callId, false);
            calls.add(call);
            // The protocol version of a seed is not known.
            ByteBuffer frame = encode(packet, FrameAuthenticator.OLDEST_VERSION);
            call.connect(sockets.selector, local, remote, frame);
        } catch (IOException | IllegalArgumentException e) {
            startFailureHandler.accept(callId);
        }
    }

    private StreamCall newCall(SocketChannel channel, long callId, boolean incoming) {
        return new StreamCall(
                channel,
                framer.authenticator(),
                handler,
                MAX_FRAME_BYTES,
                callId,
                incoming,
                Ticks.now() + TIMEOUT);
    }

    /** Answers an incoming call, unless it has been closed in the meantime. */
    void answer(StreamCall call, Packet packet) {
        if (call.isOpen()) {
            call.answer(encode(packet, call.version()));
        }
    }

    private ByteBuffer encode(Packet packet, int version) {
        ByteBuffer frame = framer.encode(packet, version, MAX_FRAME_BYTES);
        metrics.countSent(frame.remaining());
        return frame;
    }

    /** Removes a call that was closed. */
    void remove(StreamCall call) {
        calls.remove(call);
    }

    /** Fails the calls whose deadline has passed. */
    void failOverdue(long now) {
        for (StreamCall call : List.copyOf(calls)) {
            if (call.isOverdue(now)) {
                call.fail();
            }
        }
    }

    /** Closes all calls. */
    void closeAll() {
        List.copyOf(calls).forEach(StreamCall::close);
    }
}

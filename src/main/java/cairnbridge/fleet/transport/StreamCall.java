package cairnbridge.fleet.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One call over its own TCP connection: a request frame, an answer frame, and the close. Serves as
 * the caller's side and as the called member's side. Used by the transport's thread only.
 */
final class StreamCall {
    /** Receives the frames and the outcome of a call. */
    interface Handler {
        /** The other side's frame has arrived and was authenticated. */
        void frameReceived(StreamCall call, FrameAuthenticator.AuthenticatedFrame frame)
                throws RejectedFrameException;

        /** A frame of the other side was rejected. */
        void frameRejected(RejectionReason reason);

        /** The call has ended without an answer. */
        void failed(StreamCall call);

        /** The connection is closed, after an answer or a failure. */
        void closed(StreamCall call);
    }

    private static final Logger LOG = Logger.getLogger(StreamCall.class.getName());
    private static final int INITIAL_BUFFER_BYTES = 4_096;
    private static final int LENGTH_UNKNOWN = -1;

    private final SocketChannel channel;
    private final FrameAuthenticator authenticator;
    private final Handler handler;
    private final int maxFrameBytes;
    private final long id;
    private final boolean incoming;
    private final long deadline;
    private SelectionKey key;
    private ByteBuffer out;
    private ByteBuffer in = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);
    private int frameLength = LENGTH_UNKNOWN;
    private int version = FrameAuthenticator.OLDEST_VERSION;
    private boolean closed;

    /**
     * Creates a call over an accepted connection, or over one that {@link #connect} opens.
     *
     * @param id the id of an outgoing call; unused for an incoming one
     * @param incoming whether another member opened the call
     * @param deadline the time after which the call fails
     */
    StreamCall(
            SocketChannel channel,
            FrameAuthenticator authenticator,
            Handler handler,
            int maxFrameBytes,
            long id,
            boolean incoming,
            long deadline) {
        this.channel = channel;
        this.authenticator = authenticator;
        this.handler = handler;
        this.maxFrameBytes = maxFrameBytes;
        this.id = id;
        this.incoming = incoming;
        this.deadline = deadline;
    }

    long id() {
        return id;
    }

    boolean isIncoming() {
        return incoming;
    }

    boolean isOverdue(long now) {
        return now > deadline;
    }

    /** The protocol version of the frame that was received. */
    int version() {
        return version;
    }

    /** The length of the frame that was received. */
    int receivedBytes() {
        return frameLength;
    }

    /** Waits for the other member's frame on an accepted connection. */
    void awaitRequest(Selector selector) throws IOException {
        channel.configureBlocking(false);
        key = channel.register(selector, SelectionKey.OP_READ, this);
    }

    /**
     * Connects and sends a frame.
     *
     * @param from the local address: guards against a connection from another address of this
     *     machine, which other members may not know
     */
    void connect(
            Selector selector, InetSocketAddress from, InetSocketAddress to, ByteBuffer frame) {
        out = frame;
        try {
            channel.configureBlocking(false);
            channel.bind(from);
            boolean connected = channel.connect(to);
            int interest = connected ? SelectionKey.OP_WRITE : SelectionKey.OP_CONNECT;
            key = channel.register(selector, interest, this);
        } catch (IOException | RuntimeException e) {
            // RuntimeException: from the platform, for an unsupported type of address.
            fail();
        }
    }

    boolean isOpen() {
        return !closed;
    }

    /** Sends the answer to an incoming call. */
    void answer(ByteBuffer frame) {
        out = frame;
        onReady();
    }

    /** Connects, writes or reads, as far as the connection is ready. */
    void onReady() {
        if (closed || key == null || !key.isValid()) {
            return;
        }
        try {
            if (key.isConnectable() && !channel.finishConnect()) {
                return;
            }
            write();
            boolean awaitsFrame = out == null || !incoming;
            if (!closed && awaitsFrame) {
                read();
            }
        } catch (RejectedFrameException e) {
            handler.frameRejected(e.reason());
            fail();
        } catch (IOException e) {
            fail();
        }
    }

    private void write() throws IOException {
        if (out == null || !out.hasRemaining()) {
            return;
        }
        channel.write(out);
        key.interestOps(out.hasRemaining() ? SelectionKey.OP_WRITE : SelectionKey.OP_READ);
        if (incoming && !out.hasRemaining()) {
            close();
        }
    }

    private void read() throws IOException, RejectedFrameException {
        int count = channel.read(in);
        while (count > 0 && !isFrameComplete()) {
            count = channel.read(in);
        }
        if (isFrameComplete()) {
            FrameAuthenticator.AuthenticatedFrame frame =
                    authenticator.decode(in.flip(), maxFrameBytes);
            version = frame.version();
            key.interestOps(0);
            handler.frameReceived(this, frame);
        } else if (count < 0) {
            rejectTruncated();
        }
    }

    private boolean isFrameComplete() throws RejectedFrameException {
        if (frameLength == LENGTH_UNKNOWN && in.position() >= FrameAuthenticator.HEADER_BYTES) {
            frameLength = authenticator.frameLength(in.duplicate().flip(), maxFrameBytes);
        }
        if (frameLength > in.capacity() && !in.hasRemaining()) {
            // The buffer grows with the bytes received: a header alone allocates no megabytes.
            int capacity = Math.min(frameLength, 2 * in.capacity());
            in = ByteBuffer.allocate(capacity).put(in.flip());
        }
        return frameLength != LENGTH_UNKNOWN && in.position() >= frameLength;
    }

    private void rejectTruncated() throws IOException, RejectedFrameException {
        if (!incoming && in.position() == 0) {
            throw new IOException("closed without an answer");
        }
        throw new RejectedFrameException(
                in.position() < FrameAuthenticator.MAGIC_BYTES
                        ? RejectionReason.FOREIGN
                        : RejectionReason.CUT_SHORT);
    }

    /** Ends the call without an answer. */
    void fail() {
        if (!closed) {
            close();
            handler.failed(this);
        }
    }

    /** Closes the connection. */
    void close() {
        closed = true;
        handler.closed(this);
        try {
            channel.close();
        } catch (IOException e) {
            LOG.log(Level.FINE, "fleet: closing a connection failed: {0}", e.toString());
        }
    }
}

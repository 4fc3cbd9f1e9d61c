package cairnbridge.proxy;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ByteChannel;
import java.util.concurrent.locks.Lock;
import javax.net.ssl.SSLContext;
import org.apache.hc.core5.net.NamedEndpoint;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.reactor.ssl.SSLBufferMode;
import org.apache.hc.core5.reactor.ssl.SSLSessionInitializer;
import org.apache.hc.core5.reactor.ssl.SSLSessionVerifier;
import org.apache.hc.core5.reactor.ssl.TlsDetails;
import org.apache.hc.core5.util.Timeout;

/**
 * A session that forwards all calls to another session, except those that read, close or query the
 * state: these are left to the subclass.
 */
abstract class ForwardingSession implements ProtocolIOSession {
    private final ProtocolIOSession session;

    /** Creates a session that forwards to the given one. */
    ForwardingSession(ProtocolIOSession session) {
        this.session = session;
    }

    /** The session that calls are forwarded to. */
    final ProtocolIOSession delegate() {
        return session;
    }

    @Override
    public int write(ByteBuffer src) throws IOException {
        return session.write(src);
    }

    @Override
    public String getId() {
        return session.getId();
    }

    @Override
    public IOEventHandler getHandler() {
        return session.getHandler();
    }

    @Override
    public void upgrade(IOEventHandler handler) {
        session.upgrade(handler);
    }

    @Override
    public Lock getLock() {
        return session.getLock();
    }

    @Override
    public void enqueue(Command command, Command.Priority priority) {
        session.enqueue(command, priority);
    }

    @Override
    public boolean hasCommands() {
        return session.hasCommands();
    }

    @Override
    public Command poll() {
        return session.poll();
    }

    @Override
    public ByteChannel channel() {
        return session.channel();
    }

    @Override
    public SocketAddress getRemoteAddress() {
        return session.getRemoteAddress();
    }

    @Override
    public SocketAddress getLocalAddress() {
        return session.getLocalAddress();
    }

    @Override
    public int getEventMask() {
        return session.getEventMask();
    }

    @Override
    public void setEventMask(int mask) {
        session.setEventMask(mask);
    }

    @Override
    public void setEvent(int op) {
        session.setEvent(op);
    }

    @Override
    public void clearEvent(int op) {
        session.clearEvent(op);
    }

    @Override
    public Timeout getSocketTimeout() {
        return session.getSocketTimeout();
    }

    @Override
    public void setSocketTimeout(Timeout timeout) {
        session.setSocketTimeout(timeout);
    }

    @Override
    public long getLastReadTime() {
        return session.getLastReadTime();
    }

    @Override
    public long getLastWriteTime() {
        return session.getLastWriteTime();
    }

    @Override
    public long getLastEventTime() {
        return session.getLastEventTime();
    }

    @Override
    public void updateReadTime() {
        session.updateReadTime();
    }

    @Override
    public void updateWriteTime() {
        session.updateWriteTime();
    }

    @Override
    public NamedEndpoint getInitialEndpoint() {
        return session.getInitialEndpoint();
    }

    @Override
    public TlsDetails getTlsDetails() {
        return session.getTlsDetails();
    }

    @Override
    public void startTls(
            SSLContext context,
            NamedEndpoint endpoint,
            SSLBufferMode mode,
            SSLSessionInitializer initializer,
            SSLSessionVerifier verifier,
            Timeout timeout) {
        session.startTls(context, endpoint, mode, initializer, verifier, timeout);
    }
}

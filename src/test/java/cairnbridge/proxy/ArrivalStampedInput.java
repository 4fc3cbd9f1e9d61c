package cairnbridge.proxy;

import java.io.FilterInputStream;
import java.io.IOException;
import java.net.Socket;

/** The input of a connection, read by one thread; records when the bytes of each read arrived. */
final class ArrivalStampedInput extends FilterInputStream {
    private static final ThreadLocal<Long> LAST_ARRIVAL_NANOS = new ThreadLocal<>();

    private final TcpConnectionInfo info;

    /** Wraps the input of an open connection. */
    ArrivalStampedInput(Socket socket) throws IOException {
        super(socket.getInputStream());
        info = new TcpConnectionInfo(socket);
    }

    /** When the bytes arrived that the calling thread has read last. */
    static long lastArrivalNanos() {
        return LAST_ARRIVAL_NANOS.get();
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
        int count = super.read(bytes, offset, length);
        LAST_ARRIVAL_NANOS.set(info.lastArrivalNanos());
        return count;
    }
}

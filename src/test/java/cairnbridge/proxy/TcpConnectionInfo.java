package cairnbridge.proxy;

import com.sun.jna.Library;
import com.sun.jna.Memory;
import com.sun.jna.Native;
import com.sun.jna.Pointer;
import com.sun.jna.ptr.IntByReference;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;

/**
 * Asks the system when the last bytes of a connection arrived, which may be long before a thread of
 * a busy machine reads them. Java has no API for this, so it calls the C library of Linux.
 */
final class TcpConnectionInfo {
    private static final SystemLibrary SYSTEM = Native.load("c", SystemLibrary.class);
    private static final int MAX_DESCRIPTOR = 2000;
    private static final int ADDRESS_BYTES = 128;

    /** The offset of the port in {@code sockaddr_in} and {@code sockaddr_in6}. */
    private static final int PORT_OFFSET = 2;

    /** {@code IPPROTO_TCP} and {@code TCP_INFO}. */
    private static final int TCP_LEVEL = 6;

    private static final int TCP_INFO = 11;
    private static final int INFO_BYTES = 104;

    /** The offset of {@code tcpi_last_data_recv}, in milliseconds. */
    private static final int LAST_DATA_RECEIVED_OFFSET = 52;

    /** The functions of the C library that are called. */
    private interface SystemLibrary extends Library {
        int getsockname(int descriptor, Pointer address, IntByReference length);

        int getpeername(int descriptor, Pointer address, IntByReference length);

        int getsockopt(int descriptor, int level, int option, Pointer value, IntByReference length);
    }

    private final int descriptor;

    /** Finds the descriptor of an open connection of this process. */
    TcpConnectionInfo(Socket socket) throws IOException {
        int found = 0;
        while (found < MAX_DESCRIPTOR && !isDescriptorOf(socket, found)) {
            found++;
        }
        if (found == MAX_DESCRIPTOR) {
            throw new IOException("no descriptor of " + socket);
        }
        descriptor = found;
    }

    private static boolean isDescriptorOf(Socket socket, int candidate) {
        try (Memory address = new Memory(ADDRESS_BYTES)) {
            IntByReference length = new IntByReference(ADDRESS_BYTES);
            if (SYSTEM.getpeername(candidate, address, length) != 0
                    || portOf(address) != socket.getPort()) {
                return false;
            }
            length.setValue(ADDRESS_BYTES);
            return SYSTEM.getsockname(candidate, address, length) == 0
                    && portOf(address) == socket.getLocalPort();
        }
    }

    private static int portOf(Memory address) {
        return (address.getByte(PORT_OFFSET) & 0xff) << Byte.SIZE
                | address.getByte(PORT_OFFSET + 1) & 0xff;
    }

    /** When the last bytes arrived, on the clock of {@link System#nanoTime}; exact to some ms. */
    long lastArrivalNanos() throws IOException {
        try (Memory info = new Memory(INFO_BYTES)) {
            IntByReference length = new IntByReference(INFO_BYTES);
            long nowNanos = System.nanoTime();
            if (SYSTEM.getsockopt(descriptor, TCP_LEVEL, TCP_INFO, info, length) != 0) {
                throw new IOException("no TCP_INFO of descriptor " + descriptor);
            }
            int agoMillis = info.getInt(LAST_DATA_RECEIVED_OFFSET);
            return nowNanos - TimeUnit.MILLISECONDS.toNanos(agoMillis);
        }
    }
}

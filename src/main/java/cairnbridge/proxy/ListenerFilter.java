package cairnbridge.proxy;

import com.sun.jna.LastErrorException;
import com.sun.jna.Library;
import com.sun.jna.Memory;
import com.sun.jna.Native;
import com.sun.jna.Pointer;
import java.io.IOException;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Has the system give all new connections of a group of listening sockets to one of them. Java has
 * no call for that, so that the C library is called.
 */
final class ListenerFilter {
    private static final Logger LOG = Logger.getLogger(ListenerFilter.class.getName());

    /** {@code SOL_SOCKET} of Linux. */
    private static final int SOCKET_LEVEL = 1;

    /** {@code SO_ATTACH_REUSEPORT_CBPF} of Linux. */
    private static final int ATTACH_REUSEPORT_FILTER = 51;

    /** The BPF instruction {@code BPF_RET | BPF_K}: returns its operand. */
    private static final short RETURN_CONSTANT = 0x06;

    /** The layout of {@code struct sock_filter}. */
    private static final int INSTRUCTION_BYTES = 8;

    private static final int OPERAND_OFFSET = 4;

    /** The calls of the C library that are needed. */
    private interface SystemLibrary extends Library {
        int setsockopt(int descriptor, int level, int option, Pointer value, int length)
                throws LastErrorException;
    }

    /** Loads the C library with its first use. */
    private static final class LoadedLibrary {
        private static final SystemLibrary SYSTEM = Native.load("c", SystemLibrary.class);

        private LoadedLibrary() {}
    }

    private ListenerFilter() {}

    /**
     * Loads what {@link #selectMember} needs, which takes some hundred milliseconds on a busy
     * machine. Where that fails {@link #selectMember} says so.
     */
    static void prepare() {
        try {
            LOG.log(Level.FINE, "loaded: {0}", LoadedLibrary.SYSTEM);
        } catch (LinkageError e) {
            LOG.log(Level.FINE, "cannot be loaded: {0}", e.toString());
        }
    }

    /**
     * Gives all new connections to one socket of a group. Where the group has no such socket, as
     * when that has been closed, the system chooses again.
     *
     * @param descriptor the file descriptor of any socket of the group
     * @param index the position of the chosen socket in the group, from 0
     * @throws IOException if the system refuses, or its library cannot be called
     */
    static void selectMember(int descriptor, int index) throws IOException {
        try (Memory instruction = new Memory(INSTRUCTION_BYTES);
                Memory program = new Memory(2L * Native.POINTER_SIZE)) {
            instruction.clear();
            instruction.setShort(0, RETURN_CONSTANT);
            instruction.setInt(OPERAND_OFFSET, index);
            program.clear();
            program.setShort(0, (short) 1);
            program.setPointer(Native.POINTER_SIZE, instruction);
            int ignored =
                    LoadedLibrary.SYSTEM.setsockopt(
                            descriptor,
                            SOCKET_LEVEL,
                            ATTACH_REUSEPORT_FILTER,
                            program,
                            (int) program.size());
        } catch (LastErrorException | LinkageError e) {
            throw new IOException("cannot choose a listening socket: " + e.getMessage(), e);
        }
    }
}

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
 * Makes the system give all new connections of a group of listening sockets to one of them. Java
 * has no API for this, so it calls the C library.
 */
final class ListenerFilter {
    private static final Logger LOG = Logger.getLogger(ListenerFilter.class.getName());

    /** {@code SOL_SOCKET} of Linux. */
    private static final int SOCKET_LEVEL = 1;

    /** {@code SO_ATTACH_REUSEPORT_CBPF} of Linux. */
    private static final int ATTACH_REUSEPORT_FILTER = 51;

    /** {@code SO_DETACH_REUSEPORT_BPF} of Linux. */
    private static final int DETACH_REUSEPORT_FILTER = 68;

    /** {@code ENOENT} of Linux: no filter is attached. */
    private static final int NO_SUCH_ENTRY = 2;

    /** The BPF instruction {@code BPF_RET | BPF_K}: returns its operand. */
    private static final short RETURN_CONSTANT = 0x06;

    /** The layout of {@code struct sock_filter}. */
    private static final int INSTRUCTION_BYTES = 8;

    private static final int OPERAND_OFFSET = 4;

    /** The functions of the C library that are called. */
    private interface SystemLibrary extends Library {
        int setsockopt(int descriptor, int level, int option, Pointer value, int length)
                throws LastErrorException;
    }

    /** Loads the C library when this class is first used. */
    private static final class LoadedLibrary {
        private static final SystemLibrary SYSTEM = Native.load("c", SystemLibrary.class);

        private LoadedLibrary() {}
    }

    private ListenerFilter() {}

    /**
     * Loads the library that {@link #selectMember} needs, which takes some hundred milliseconds on
     * a busy machine. A failure to load it is reported by {@link #selectMember}.
     */
    static void prepare() {
        try {
            LOG.log(Level.FINE, "C library loaded: {0}", LoadedLibrary.SYSTEM);
        } catch (LinkageError e) {
            LOG.log(Level.FINE, "C library cannot be loaded: {0}", e.toString());
        }
    }

    /**
     * Gives all new connections to one socket of a group. If the group has no socket at this index,
     * for instance because it has been closed, the system selects a socket as without this call.
     *
     * @param descriptor the file descriptor of any socket of the group
     * @param index the position of the chosen socket in the group, from 0
     * @throws IOException if the system rejects the filter, or the C library cannot be called
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
            throw new IOException("cannot select a listening socket: " + e.getMessage(), e);
        }
    }

    /**
     * Shares new connections out to all sockets of a group again, as before {@link #selectMember}.
     *
     * @param descriptor the file descriptor of any socket of the group
     * @return false if the group had no filter
     * @throws IOException if the system rejects the call, or the C library cannot be called
     */
    static boolean detach(int descriptor) throws IOException {
        try (Memory unused = new Memory(Integer.BYTES)) {
            unused.clear();
            int ignored =
                    LoadedLibrary.SYSTEM.setsockopt(
                            descriptor,
                            SOCKET_LEVEL,
                            DETACH_REUSEPORT_FILTER,
                            unused,
                            (int) unused.size());
            return true;
        } catch (LastErrorException e) {
            if (e.getErrorCode() == NO_SUCH_ENTRY) {
                return false;
            }
            throw new IOException("cannot detach the filter: " + e.getMessage(), e);
        } catch (LinkageError e) {
            throw new IOException("cannot detach the filter: " + e.getMessage(), e);
        }
    }
}

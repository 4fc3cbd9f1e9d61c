package cairnbridge.proxy;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The listening sockets of one address, as Linux lists them in {@code /proc}. With {@code
 * SO_REUSEPORT}, several processes can listen on an address, and the system selects one of them for
 * each new connection.
 *
 * @param size the number of sockets of all processes that listen on the address
 * @param ownDescriptor the file descriptor of this process's socket among them
 */
record ListenerGroup(int size, int ownDescriptor) {
    private static final Path OWN_DESCRIPTORS = Path.of("/proc/self/fd");
    private static final List<Path> SOCKET_TABLES =
            List.of(Path.of("/proc/self/net/tcp"), Path.of("/proc/self/net/tcp6"));
    private static final String SOCKET_LINK_PREFIX = "socket:[";
    private static final String LISTENING = "0A";

    /** Column indexes of a row of a socket table, split at whitespace. */
    private static final int LOCAL_ADDRESS_COLUMN = 1;

    private static final int STATE_COLUMN = 3;
    private static final int INODE_COLUMN = 9;

    /** Addresses are printed as words in the machine's byte order, assumed to be little-endian. */
    private static final int WORD_BYTES = 4;

    private static final int HEX_RADIX = 16;

    /**
     * Finds the group of an address; empty if this process does not listen on it.
     *
     * @throws IOException if the socket tables or the descriptors cannot be read
     */
    static Optional<ListenerGroup> find(InetSocketAddress address) throws IOException {
        List<String> inodes = listeningInodes(address);
        Map<String, Integer> ownSockets = ownSockets();
        return inodes.stream()
                .filter(ownSockets::containsKey)
                .findFirst()
                .map(inode -> new ListenerGroup(inodes.size(), ownSockets.get(inode)));
    }

    private static List<String> listeningInodes(InetSocketAddress address) throws IOException {
        List<String> inodes = new ArrayList<>();
        for (Path table : SOCKET_TABLES) {
            if (Files.exists(table)) {
                try (BufferedReader rows = Files.newBufferedReader(table)) {
                    addListeningInodes(rows, address, inodes);
                }
            }
        }
        return inodes;
    }

    /**
     * Reads a table only up to its last listening socket: listening sockets come first. Guards
     * against the time and the memory that the rows of tens of thousands of connections need.
     */
    private static void addListeningInodes(
            BufferedReader rows, InetSocketAddress address, List<String> inodes)
            throws IOException {
        String header = rows.readLine();
        String row = header == null ? null : rows.readLine();
        while (row != null) {
            String[] columns = row.strip().split("\\s+");
            if (!columns[STATE_COLUMN].equals(LISTENING)) {
                return;
            }
            if (parseAddress(columns[LOCAL_ADDRESS_COLUMN]).equals(address)) {
                inodes.add(columns[INODE_COLUMN]);
            }
            row = rows.readLine();
        }
    }

    /** Parses an address such as {@code 0100007F:1F90}. */
    private static InetSocketAddress parseAddress(String text) throws UnknownHostException {
        int colon = text.indexOf(':');
        byte[] words = HexFormat.of().parseHex(text, 0, colon);
        byte[] bytes = new byte[words.length];
        for (int i = 0; i < words.length; i++) {
            int wordStart = i - i % WORD_BYTES;
            bytes[i] = words[wordStart + WORD_BYTES - 1 - i % WORD_BYTES];
        }
        int port = Integer.parseInt(text.substring(colon + 1), HEX_RADIX);
        return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
    }

    /** The descriptors of this process's sockets by inode. */
    private static Map<String, Integer> ownSockets() throws IOException {
        Map<String, Integer> descriptors = new HashMap<>();
        try (Stream<Path> links = Files.list(OWN_DESCRIPTORS)) {
            links.forEach(link -> addSocket(link, descriptors));
        }
        return descriptors;
    }

    private static void addSocket(Path link, Map<String, Integer> descriptors) {
        try {
            String target = Files.readSymbolicLink(link).toString();
            if (target.startsWith(SOCKET_LINK_PREFIX)) {
                String inode = target.substring(SOCKET_LINK_PREFIX.length(), target.length() - 1);
                descriptors.put(inode, Integer.parseInt(link.getFileName().toString()));
            }
        } catch (IOException e) {
            // The descriptor was closed after the directory was listed.
        }
    }
}

package cairnbridge.scale.control;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/**
 * Datagrams sent in this network namespace since its start, as the kernel counts them. A carrier
 * counts bytes alone, so other programs' datagrams are among these.
 */
final class DatagramCounter {
    private static final Path KERNEL_COUNTERS = Path.of("/proc/net/snmp");
    private static final String ROW = "Udp:";
    private static final String COLUMN = "OutDatagrams";

    private DatagramCounter() {}

    /** IOException where the kernel tells nothing of it. */
    static long sent() throws IOException {
        List<String[]> rows =
                Files.readAllLines(KERNEL_COUNTERS).stream()
                        .map(line -> line.split(" "))
                        .filter(cells -> cells[0].equals(ROW))
                        .toList();
        int column = rows.isEmpty() ? -1 : Arrays.asList(rows.get(0)).indexOf(COLUMN);
        if (column < 0) {
            throw new IOException(KERNEL_COUNTERS + " has no " + COLUMN);
        }
        return Long.parseLong(rows.get(1)[column]);
    }
}

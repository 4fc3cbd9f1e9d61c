package cairnbridge.scale.datapath;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** What the system says of a process, from its files under /proc. */
public final class ProcessFigures {
    private static final Path PROCESSES = Path.of("/proc");

    /** Linux tells processor time in hundredths of a second on every architecture. */
    private static final int TICKS_A_SECOND = 100;

    /** The fields that follow the command's closing bracket begin with the process's state. */
    private static final int USER_FIELD = 11;

    private static final int SYSTEM_FIELD = 12;

    private ProcessFigures() {}

    /** Processor time so far, user and system, in milliseconds. */
    public static long cpuMillis(long processId) throws IOException {
        return cpuMillis(Files.readString(folder(processId).resolve("stat")));
    }

    static long cpuMillis(String stat) {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long ticks = Long.parseLong(fields[USER_FIELD]) + Long.parseLong(fields[SYSTEM_FIELD]);
        return ticks * 1000 / TICKS_A_SECOND;
    }

    /** Memory in RAM, in bytes. */
    public static long residentBytes(long processId) throws IOException {
        return residentBytes(Files.readAllLines(folder(processId).resolve("status")));
    }

    static long residentBytes(List<String> status) {
        String line =
                status.stream()
                        .filter(each -> each.startsWith("VmRSS:"))
                        .findFirst()
                        .orElseThrow(() -> new IllegalStateException("no VmRSS line"));
        return Long.parseLong(line.replaceAll("\\D", "")) * 1024;
    }

    /** How many descriptors a process started here may open. */
    public static int descriptorLimit() throws IOException {
        return descriptorLimit(Files.readAllLines(PROCESSES.resolve("self").resolve("limits")));
    }

    static int descriptorLimit(List<String> limits) {
        String soft =
                limits.stream()
                        .filter(line -> line.startsWith("Max open files"))
                        .map(line -> line.substring("Max open files".length()).strip())
                        .map(line -> line.split("\\s+")[0])
                        .findFirst()
                        .orElseThrow(() -> new IllegalStateException("no limit of open files"));
        return soft.equals("unlimited")
                ? Integer.MAX_VALUE
                : (int) Math.min(Integer.MAX_VALUE, Long.parseLong(soft));
    }

    private static Path folder(long processId) {
        return PROCESSES.resolve(Long.toString(processId));
    }
}

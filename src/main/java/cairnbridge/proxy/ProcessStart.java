package cairnbridge.proxy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalLong;

/** When the processes of this machine started, whatever its wall clock has shown since. */
final class ProcessStart {
    /** The index of the start time among the fields that follow the name of the program. */
    private static final int START_FIELD = 19;

    private static final char END_OF_NAME = ')';

    private ProcessStart() {}

    /**
     * The time from the start of the system to that of a process, in the system's clock ticks.
     *
     * @return empty if the process has ended, or the system does not tell
     */
    static OptionalLong sinceBoot(long processId) {
        try {
            String text = Files.readString(Path.of("/proc/" + processId + "/stat"));
            String[] fields = text.substring(text.lastIndexOf(END_OF_NAME) + 2).split(" ");
            return OptionalLong.of(Long.parseLong(fields[START_FIELD]));
        } catch (IOException | RuntimeException e) {
            return OptionalLong.empty();
        }
    }
}

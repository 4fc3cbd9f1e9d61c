package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Which of the processes that share a folder has started later. */
class SiblingProcessesTest {
    private static final long HOUR_MILLIS = 3_600_000;

    @TempDir Path folder;

    /** Guards against a handover that fails because the wall clock was stepped back between. */
    @Test
    void aLaterProcessIsTheSuccessorAfterAStepOfTheWallClock() throws Exception {
        SiblingProcesses own = new SiblingProcesses(Optional.of(folder));
        Process later = new ProcessBuilder("sleep", "30").start();
        try {
            long markedMillis = System.currentTimeMillis() - HOUR_MILLIS;
            Files.writeString(folder.resolve("ready-" + later.pid() + "-" + markedMillis), "");

            assertTrue(own.hasReadySuccessor());
            assertTrue(own.hasSuccessor());
            assertFalse(own.hasPredecessor());
        } finally {
            later.destroyForcibly().waitFor();
        }
    }
}

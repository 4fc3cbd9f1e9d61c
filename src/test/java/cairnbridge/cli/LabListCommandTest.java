package cairnbridge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the output and the errors of {@code lab list}. */
class LabListCommandTest {
    @TempDir private Path folder;
    private final StringWriter output = new StringWriter();
    private final StringWriter errors = new StringWriter();

    private int list(Path where) {
        return Main.commandLine()
                .setOut(new PrintWriter(output, true))
                .setErr(new PrintWriter(errors, true))
                .execute("lab", "list", where.toString());
    }

    /** Guards against printing a stack trace instead of one line that names the missing folder. */
    @Test
    void aMissingFolderIsReportedInOneLine() {
        assertEquals(2, list(folder.resolve("missing")));
        assertEquals(1, errors.toString().lines().count(), errors.toString());
        assertTrue(errors.toString().contains("missing"), errors.toString());
    }

    @Test
    void onlyScenarioFilesAreListed() throws IOException {
        Files.copy(Path.of("drills", "calm.drill"), folder.resolve("calm.drill"));
        Files.writeString(folder.resolve("notes.txt"), "no scenario");
        assertEquals(0, list(folder));
        assertEquals(1, output.toString().lines().count(), output.toString());
        assertTrue(output.toString().startsWith("calm "), output.toString());
    }
}

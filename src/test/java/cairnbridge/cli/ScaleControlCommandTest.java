package cairnbridge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import picocli.CommandLine;

/** Tests how {@code scale control} reports invalid options. */
@Timeout(30)
class ScaleControlCommandTest {
    private static void assertReportedInOneLine(String key, String... options) {
        StringWriter errors = new StringWriter();
        List<String> line = new ArrayList<>(List.of("scale", "control"));
        line.addAll(List.of(options));
        CommandLine command = Main.commandLine().setErr(new PrintWriter(errors, true));
        assertEquals(2, command.execute(line.toArray(String[]::new)), errors.toString());
        assertEquals(1, errors.toString().lines().count(), errors.toString());
        assertTrue(errors.toString().contains(key), errors.toString());
    }

    @Test
    void invalidSizesAreReportedInOneLine() {
        assertReportedInOneLine("--members", "--members", "3");
        assertReportedInOneLine("--members", "--members", "many");
        assertReportedInOneLine("--members", "--members", "50,many");
        assertReportedInOneLine("--members", "--members", "1000000");
        assertReportedInOneLine("--processes", "--processes", "0");
        assertReportedInOneLine("--processes", "--members", "900", "--processes", "101");
        assertReportedInOneLine("--plays", "--plays", "0");
        assertReportedInOneLine("--quiet-seconds", "--quiet-seconds", "0");
        assertReportedInOneLine("--settle-seconds", "--settle-seconds", "-1");
        assertReportedInOneLine("--changes", "--changes", "-1");
        assertReportedInOneLine("--nodes", "--nodes", "-1");
    }

    @Test
    void unknownOptionsAreReportedInOneLine() {
        assertReportedInOneLine("--sites", "--sites", "3");
        assertReportedInOneLine("--members", "turns", "--members", "1");
        assertReportedInOneLine("--nodes", "turns", "--nodes", "0");
        assertReportedInOneLine("missing.jsonl", "fit", "missing.jsonl");
    }
}

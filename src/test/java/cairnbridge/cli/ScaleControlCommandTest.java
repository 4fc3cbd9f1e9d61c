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

/** Faults on the command line of the scale test of the control part. */
@Timeout(30)
class ScaleControlCommandTest {
    private static void assertFault(String key, String... options) {
        StringWriter errors = new StringWriter();
        List<String> line = new ArrayList<>(List.of("scale", "control"));
        line.addAll(List.of(options));
        CommandLine command = Main.commandLine().setErr(new PrintWriter(errors, true));
        assertEquals(2, command.execute(line.toArray(String[]::new)), errors.toString());
        assertEquals(1, errors.toString().lines().count(), errors.toString());
        assertTrue(errors.toString().contains(key), errors.toString());
    }

    @Test
    void badSizesAreSaidInOneLine() {
        assertFault("--members", "--members", "3");
        assertFault("--members", "--members", "many");
        assertFault("--members", "--members", "50,many");
        assertFault("--members", "--members", "1000000");
        assertFault("--processes", "--processes", "0");
        assertFault("--processes", "--members", "900", "--processes", "101");
        assertFault("--plays", "--plays", "0");
        assertFault("--quiet-seconds", "--quiet-seconds", "0");
        assertFault("--settle-seconds", "--settle-seconds", "-1");
        assertFault("--changes", "--changes", "-1");
        assertFault("--nodes", "--nodes", "-1");
    }

    @Test
    void unknownOptionsAreSaidInOneLine() {
        assertFault("--sites", "--sites", "3");
        assertFault("--members", "turns", "--members", "1");
        assertFault("--nodes", "turns", "--nodes", "0");
        assertFault("missing.jsonl", "fit", "missing.jsonl");
    }
}

package cairnbridge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import picocli.CommandLine;

/** Every command that users see describes itself. */
class CommandHelpTest {
    static Stream<String> commands() {
        return Main.commandLine().getSubcommands().entrySet().stream()
                .filter(command -> !command.getValue().getCommandSpec().usageMessage().hidden())
                .map(command -> command.getKey());
    }

    /** Guards against a command that rejects --help as an unknown option. */
    @ParameterizedTest
    @MethodSource("commands")
    void eachCommandPrintsItsUsage(String command) {
        StringWriter output = new StringWriter();
        CommandLine commandLine = Main.commandLine().setOut(new PrintWriter(output));

        int status = commandLine.execute(command, "--help");

        assertEquals(0, status, List.of(command, output).toString());
        assertTrue(output.toString().contains("Usage: cairnbridge " + command), output.toString());
    }
}

package cairnbridge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.config.ConfigurationException;
import cairnbridge.scale.datapath.DataPathPlan;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

/** Tests that an invalid option is reported in one line that names it, before any measurement. */
class ScaleCommandsTest {
    private static final int INVALID_INPUT_STATUS = 2;
    private static final long EXIT_TIMEOUT_SECONDS = 30;

    @ParameterizedTest
    @CsvSource({
        "--nodes, 0",
        "--nodes, '28,'",
        "--nodes, '28,many'",
        "--nodes, 99999999999",
        "--plays, 0",
        "--requests, -1",
        "--rate, 0",
        "--rate, NaN",
        "--latency-ms, fast",
        "--proxies, 0",
        "--zones, 400",
        "--keys, 0",
        "--skew, 0.5",
        "--fleet-seconds, -1",
        "--seed, x"
    })
    void theRouterCommandNamesTheInvalidOption(String option, String text) {
        assertOptionNamed(new ScaleRouterCommand(), option, text);
    }

    @ParameterizedTest
    @CsvSource({
        "--requests, 0",
        "--body, 65537",
        "--body, '512,,8192'",
        "--connections, -1",
        "--nodes, 0",
        "--rate, 0",
        "--ttl-ms, soon",
        "--repeats, 0",
        "--seed, x",
        "--jvm-args, no-such-file"
    })
    void theDataPathCommandNamesTheInvalidOption(String option, String text) {
        assertOptionNamed(new ScaleDataPathCommand(), option, text);
    }

    @Test
    void aPlanThatNeedsTooManyDescriptorsIsRejected() {
        DataPathPlan plan =
                new DataPathPlan(
                        1,
                        List.of(1),
                        List.of(900),
                        List.of(10),
                        1,
                        800,
                        1,
                        800,
                        1,
                        1,
                        Path.of("none"));
        ScaleDataPathCommand.checkDescriptors(plan, plan.descriptors());
        ConfigurationException exception =
                assertThrows(
                        ConfigurationException.class,
                        () -> ScaleDataPathCommand.checkDescriptors(plan, plan.descriptors() - 1));
        assertTrue(exception.getMessage().startsWith("--connections: "), exception.getMessage());
    }

    private static void assertOptionNamed(Callable<Integer> command, String option, String text) {
        new CommandLine(command).parseArgs(option, text);
        ConfigurationException exception =
                assertThrows(ConfigurationException.class, command::call);
        assertTrue(exception.getMessage().startsWith(option + ": "), exception.getMessage());
        assertEquals(1, exception.getMessage().lines().count());
    }

    @Test
    void anInvalidOptionEndsTheProcessWithOneLineAndStatusTwo() throws Exception {
        assertExitsWithError(
                "--nodes: 0 is not from 1 to 20000", "scale", "router", "--nodes", "0");
    }

    private static void assertExitsWithError(String line, String... arguments) throws Exception {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(
                List.of("-cp", System.getProperty("java.class.path"), "cairnbridge.cli.Main"));
        command.addAll(List.of(arguments));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        try {
            assertTrue(
                    process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS),
                    "the process did not exit in time");
            String output =
                    new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(List.of(line), output.lines().toList());
            assertEquals(INVALID_INPUT_STATUS, process.exitValue());
        } finally {
            process.destroyForcibly();
        }
    }
}

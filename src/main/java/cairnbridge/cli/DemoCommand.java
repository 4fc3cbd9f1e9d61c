package cairnbridge.cli;

import cairnbridge.drill.rig.Demo;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Starts a small local fleet with clients, caches and an origin for demonstration. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description =
                "Starts a small fleet with stub servers and prints its addresses; stop it with"
                        + " Ctrl-C.")
final class DemoCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(
            names = "--seconds",
            defaultValue = "0",
            description = "Stops after this number of seconds; 0: runs until Ctrl-C.")
    private int seconds;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("cairnbridge-demo");
        boolean served = new Demo(folder, this::print).run(seconds);
        return served ? 0 : 1;
    }

    private void print(String line) {
        spec.commandLine().getOut().println(line);
        spec.commandLine().getOut().flush();
    }
}

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

/** A small fleet at work, for a first look. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description =
                "Starts a small fleet with its stand-ins and says where to look; ends at Ctrl-C.")
final class DemoCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(
            names = "--seconds",
            defaultValue = "0",
            description = "Ends by itself after so many seconds; 0: never.")
    private int seconds;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("cairnbridge-demo");
        boolean served = new Demo(folder, this::say).run(seconds);
        return served ? 0 : 1;
    }

    private void say(String line) {
        spec.commandLine().getOut().println(line);
        spec.commandLine().getOut().flush();
    }
}

package cairnbridge.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Groups the commands that measure how costs grow with the size of a fleet. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description =
                "Measures resource costs at several fleet sizes and prints them as JSON lines.",
        subcommands = {
            ScaleControlCommand.class,
            ScaleDataPathCommand.class,
            ScalePropagationCommand.class,
            ScaleRouterCommand.class,
            ScaleTurnsCommand.class
        })
final class ScaleCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a subcommand is needed");
    }
}

package cairnbridge.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Groups the commands that simulate scenarios at fleet sizes beyond what real sockets allow. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        description =
                "Simulates scenarios on models, in simulated time, with the real decision code.",
        subcommands = {
            LabRunCommand.class,
            LabExperimentCommand.class,
            LabHuntCommand.class,
            LabReportCommand.class,
            LabListCommand.class
        })
final class LabCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
    }
}

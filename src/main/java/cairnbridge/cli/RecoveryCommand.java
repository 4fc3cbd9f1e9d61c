package cairnbridge.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Shows how far a proxy's return after a loss of power is, and what it had kept. */
@Command(
        name = "recovery",
        mixinStandardHelpOptions = true,
        description =
                "Shows how far a proxy's return after a loss of power is, and what it had kept.")
final class RecoveryCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(
            names = "--door",
            required = true,
            paramLabel = "ADDR",
            description = "Address and port of the door.")
    private String door;

    @Override
    public Integer call() {
        return DoorCall.make(spec, door, "recovery");
    }
}

package cairnbridge.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Shows how far a proxy's recovery after a loss of power is, and which state it had kept. */
@Command(
        name = "recovery",
        mixinStandardHelpOptions = true,
        description =
                "Shows how far a proxy's return after a loss of power is, and what it had kept.")
final class RecoveryCommand implements Callable<Integer> {
    @Mixin private AdminCall admin;

    @Override
    public Integer call() {
        return admin.send("recovery");
    }
}

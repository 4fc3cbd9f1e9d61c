package cairnbridge.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Prints the progress of a proxy's recovery after a power loss, and its persisted state. */
@Command(
        name = "recovery",
        mixinStandardHelpOptions = true,
        description =
                "Shows a proxy's progress in recovery after a power loss, and its persisted state.")
final class RecoveryCommand implements Callable<Integer> {
    @Mixin private AdminCall admin;

    @Override
    public Integer call() {
        return admin.send("recovery");
    }
}

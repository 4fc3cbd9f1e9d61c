package cairnbridge.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Prints a proxy's progress in recovery after a power loss, and the state it had persisted. */
@Command(
        name = "recovery",
        mixinStandardHelpOptions = true,
        description =
                "Shows a proxy's progress in recovery after a power loss, and the state it"
                        + " had persisted.")
final class RecoveryCommand implements Callable<Integer> {
    @Mixin private AdminCall admin;

    @Override
    public Integer call() {
        return admin.send("recovery");
    }
}

package cairnbridge.cli;

import cairnbridge.config.ConfigFault;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Shows the plan over zones that is in force at a proxy, and empties a zone or gives it back. */
@Command(
        name = "zones",
        mixinStandardHelpOptions = true,
        description = "Shows the plan over zones at a proxy; drains a zone or restores it.")
final class ZonesCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(
            names = "--door",
            required = true,
            paramLabel = "ADDR",
            description = "Address and port of the door.")
    private String door;

    @Option(
            names = "--drain",
            paramLabel = "ZONE",
            description = "Moves a zone's traffic elsewhere, step by step.")
    private String drain;

    @Option(
            names = "--seconds",
            defaultValue = "0",
            description = "Not given back before, with --drain.")
    private int seconds;

    @Option(names = "--restore", paramLabel = "ZONE", description = "Gives a drained zone back.")
    private String restore;

    @Override
    public Integer call() {
        if (drain != null && restore != null) {
            throw new ConfigFault("--restore", "goes not with --drain");
        }
        String call =
                drain != null
                        ? "zone-drain " + drain + " " + seconds
                        : restore != null ? "zone-restore " + restore : "zones";
        return DoorCall.make(spec, door, call);
    }
}

package cairnbridge.cli;

import cairnbridge.config.ConfigurationException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Prints the zone plan in force at a proxy, or drains or restores a zone. */
@Command(
        name = "zones",
        mixinStandardHelpOptions = true,
        description = "Shows the zone plan in force at a proxy; drains or restores a zone.")
final class ZonesCommand implements Callable<Integer> {
    @Mixin private AdminCall admin;

    @Option(
            names = "--drain",
            paramLabel = "ZONE",
            description = "Moves the traffic of a zone to other zones in steps.")
    private String drain;

    @Option(
            names = "--seconds",
            defaultValue = "0",
            description = "Minimum seconds before the zone is restored, with --drain.")
    private int seconds;

    @Option(names = "--restore", paramLabel = "ZONE", description = "Restores a drained zone.")
    private String restore;

    @Override
    public Integer call() {
        if (drain != null && restore != null) {
            throw new ConfigurationException("--restore", "cannot be combined with --drain");
        }
        return admin.send(request());
    }

    private String request() {
        if (drain != null) {
            return "zone-drain " + drain + " " + seconds;
        }
        return restore != null ? "zone-restore " + restore : "zones";
    }
}

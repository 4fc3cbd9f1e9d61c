package cairnbridge.cli;

import cairnbridge.admin.DoorClient;
import cairnbridge.config.ConfigFault;
import cairnbridge.config.ProxyConfig;
import java.io.IOException;
import java.net.InetSocketAddress;
import picocli.CommandLine.Model.CommandSpec;

/** One call at a proxy's door, as a command makes it. */
final class DoorCall {
    private static final int MOST_MILLIS = 3000;

    private DoorCall() {}

    /** Prints the answer; the command's status: 1 where it is a refusal or there is none. */
    static int make(CommandSpec spec, String door, String call) {
        InetSocketAddress address = ProxyConfig.address(door);
        if (address == null) {
            throw new ConfigFault("--door", "is not an address and a port: " + door);
        }
        try {
            String answer = DoorClient.ask(address, call, MOST_MILLIS);
            boolean good = !answer.startsWith("400 ");
            (good ? spec.commandLine().getOut() : spec.commandLine().getErr())
                    .println(answer.replaceFirst("\n?EOF\n*$", "").strip());
            return good ? 0 : 1;
        } catch (IOException e) {
            spec.commandLine().getErr().println("no answer from " + door + ": " + e.getMessage());
            return 1;
        }
    }
}

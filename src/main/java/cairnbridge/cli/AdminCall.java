package cairnbridge.cli;

import cairnbridge.admin.AdminClient;
import cairnbridge.config.ConfigurationException;
import cairnbridge.config.IpAddresses;
import java.io.IOException;
import java.net.InetSocketAddress;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Mixin for commands that query a running proxy: the address option of its administration endpoint,
 * and a method that sends one request to that endpoint.
 */
final class AdminCall {
    private static final int TIMEOUT_MILLIS = 3000;
    private static final String REFUSAL_PREFIX = "400 ";

    @Spec(Spec.Target.MIXEE)
    private CommandSpec command;

    @Option(
            names = {"--admin", "--door"},
            required = true,
            paramLabel = "ADDR",
            description = "Address and port of the administration endpoint.")
    private String address;

    /**
     * Sends one request and prints the answer.
     *
     * @param request the request line
     * @return the command's exit status: 1 if the endpoint refuses the request or does not answer
     */
    int send(String request) {
        InetSocketAddress endpoint =
                IpAddresses.parse(address)
                        .orElseThrow(
                                () ->
                                        new ConfigurationException(
                                                "--admin",
                                                "is not an address and a port: " + address));
        try {
            return print(AdminClient.sendRequest(endpoint, request, TIMEOUT_MILLIS));
        } catch (IOException e) {
            command.commandLine()
                    .getErr()
                    .println("no answer from " + address + ": " + e.getMessage());
            return 1;
        }
    }

    private int print(String answer) {
        boolean refused = answer.startsWith(REFUSAL_PREFIX);
        String text = answer.replaceFirst("\n?EOF\n*$", "").strip();
        if (refused) {
            command.commandLine().getErr().println(text);
            return 1;
        }
        command.commandLine().getOut().println(text);
        return 0;
    }
}

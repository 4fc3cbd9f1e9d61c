package cairnbridge.config;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Pattern;

/** Parses IP addresses with a port. Host names are rejected, as DNS may be unavailable. */
public final class IpAddresses {
    private static final Pattern LITERAL = Pattern.compile("[0-9.]+|\\[[0-9a-fA-F:.]+\\]");

    private IpAddresses() {}

    /**
     * Parses an address such as {@code 10.0.0.1:80} or {@code [::1]:80}; empty if the text is not
     * an IP address with a port.
     */
    public static Optional<InetSocketAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0 || !LITERAL.matcher(text.substring(0, colon)).matches()) {
            return Optional.empty();
        }
        try {
            InetAddress host = InetAddress.getByName(text.substring(0, colon));
            int port = Integer.parseInt(text.substring(colon + 1));
            return Optional.of(new InetSocketAddress(host, port));
        } catch (UnknownHostException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}

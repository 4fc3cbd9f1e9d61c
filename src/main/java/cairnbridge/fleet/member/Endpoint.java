package cairnbridge.fleet.member;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/**
 * The address at which a member is reached, over UDP and over TCP. Host names are not resolved.
 *
 * @param host an IPv4 or IPv6 address as text, without brackets
 * @param port 1 to 65535
 */
public record Endpoint(String host, int port) {
    private static final Pattern HOST = Pattern.compile("[0-9.]{7,15}|[0-9a-fA-F:.]{2,45}");
    private static final int MAX_PORT = 65_535;
    private static final String NOT_AN_ENDPOINT = "is not an address and a port";

    /** Checks host and port. */
    public Endpoint {
        if (host == null || !HOST.matcher(host).matches() || port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException(NOT_AN_ENDPOINT);
        }
    }

    /**
     * Parses {@code ADDRESS:PORT} or {@code [ADDRESS]:PORT}.
     *
     * @throws IllegalArgumentException if the text is neither
     */
    public static Endpoint parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException(NOT_AN_ENDPOINT);
        }
        String host = text.substring(0, colon);
        boolean bracketed = host.startsWith("[") && host.endsWith("]");
        try {
            return new Endpoint(
                    bracketed ? host.substring(1, host.length() - 1) : host,
                    Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(NOT_AN_ENDPOINT, e);
        }
    }

    /**
     * Converts this endpoint to a socket address.
     *
     * @throws IllegalArgumentException if the host has the form of an IP address but is not one
     */
    public InetSocketAddress toSocketAddress() {
        try {
            return new InetSocketAddress(InetAddress.getByName(host), port);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("is not an IP address: " + host, e);
        }
    }

    @Override
    public String toString() {
        return (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + port;
    }
}

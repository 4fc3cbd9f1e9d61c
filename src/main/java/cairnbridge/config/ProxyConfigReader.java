package cairnbridge.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reads a {@link ProxyConfig}. If the file sets no name or address, the environment variable for it
 * is used. All environment variables and all top-level keys of the file are defined here.
 */
final class ProxyConfigReader {
    private static final String FILE = "LB_CONFIG";
    private static final String NAME = "LB_NAME";
    private static final String LISTEN = "LB_LISTEN";
    private static final String DISCOVERY = "LB_DISCOVERY";
    private static final String ADMIN = "LB_ADMIN_ADDR";
    private static final String STATE_FOLDER = "TMPDIR";

    private static final String ADMIN_KEY = "admin_addr";
    private static final String WARM_START_KEY = "learnt";
    private static final String WARM_START_FILE_NAME = "learnt";
    private static final String SOCKETS_KEY = "sockets";

    private static final String DEFAULT_NAME = "proxy";
    private static final String DEFAULT_SEED = "0";
    private static final int SEED_RADIX = 16;
    private static final int MIN_SOCKETS = 64;
    private static final int DEFAULT_SOCKETS = 1024;
    private static final double DEFAULT_CONNECT_TIMEOUT_SECONDS = 0.25;
    private static final double DEFAULT_IDLE_TIMEOUT_SECONDS = 15;

    private final Map<String, String> variables;

    ProxyConfigReader(Map<String, String> variables) {
        this.variables = variables;
    }

    /** Returns the path of the configuration file that the variables name. */
    Path file() {
        String file =
                variable(FILE)
                        .orElseThrow(
                                () ->
                                        new ConfigurationException(
                                                FILE,
                                                "is not set; it names the configuration file"));
        try {
            return Path.of(file);
        } catch (InvalidPathException e) {
            throw new ConfigurationException(FILE, "cannot be read: " + file);
        }
    }

    private Optional<String> variable(String name) {
        return Optional.ofNullable(variables.get(name)).filter(value -> !value.isEmpty());
    }

    /** Reads and checks the configuration file that the variables name. */
    ProxyConfig read() {
        Path file = file();
        try {
            return read(JsonObject.parse(Files.readString(file), FILE));
        } catch (IOException e) {
            throw new ConfigurationException(FILE, "cannot be read: " + file);
        }
    }

    /** Reads and checks the parsed content of a configuration file. */
    ProxyConfig read(JsonObject root) {
        JsonObject settings = root.object("settings");
        JsonObject limits = settings.object("limits");
        long connectTimeout = timeout(limits, "dial-timeout-s", DEFAULT_CONNECT_TIMEOUT_SECONDS);
        long idleTimeout = timeout(limits, "keepalive-s", DEFAULT_IDLE_TIMEOUT_SECONDS);
        int maxSockets = maxSockets(root.object("limits"));
        List<String> categories = categories(settings);
        SettingsValidator.validate(settings);
        return new ProxyConfig(
                root.text("name", variables.getOrDefault(NAME, DEFAULT_NAME)),
                seed(root),
                new ProxyConfig.Network(
                        address(root, "listen", LISTEN),
                        address(root, "discovery", DISCOVERY),
                        adminAddress(root),
                        maxSockets,
                        connectTimeout,
                        idleTimeout),
                new ProxyConfig.Names(
                        categories, settings.texts("host-types"), settings.texts("azs")),
                !settings.object("load-info").text("how", "none").equals("none"),
                SettingsReader.read(settings),
                root.object("known"),
                warmStartFile(root),
                stateFolder());
    }

    private static int maxSockets(JsonObject limits) {
        int maxSockets = (int) limits.number(SOCKETS_KEY, DEFAULT_SOCKETS);
        SettingsValidator.requireAtLeast(limits, SOCKETS_KEY, MIN_SOCKETS);
        return maxSockets;
    }

    private static long timeout(JsonObject limits, String key, double defaultSeconds) {
        SettingsValidator.requirePositive(limits, key);
        return Math.max(1, SettingsReader.toTicks(limits.number(key, defaultSeconds)));
    }

    private InetSocketAddress address(JsonObject root, String key, String variable) {
        String text = root.text(key, variables.get(variable));
        if (text == null) {
            throw root.invalid(key, "is not set");
        }
        return IpAddresses.parse(text)
                .orElseThrow(() -> root.invalid(key, "is not an address and a port: " + text));
    }

    private Optional<InetSocketAddress> adminAddress(JsonObject root) {
        boolean isSet = root.has(ADMIN_KEY) || variable(ADMIN).isPresent();
        return isSet ? Optional.of(address(root, ADMIN_KEY, ADMIN)) : Optional.empty();
    }

    private static List<String> categories(JsonObject settings) {
        List<String> names =
                settings.objects("categories").stream()
                        .map(category -> category.text("name", ""))
                        .toList();
        if (names.isEmpty() || names.contains("")) {
            throw settings.invalid("categories", "needs at least one, each with a name");
        }
        return names;
    }

    private static long seed(JsonObject root) {
        try {
            return Long.parseUnsignedLong(root.text("seed", DEFAULT_SEED), SEED_RADIX);
        } catch (NumberFormatException e) {
            throw root.invalid("seed", "is not a number of up to 16 hex digits");
        }
    }

    private Optional<Path> stateFolder() {
        return variable(STATE_FOLDER).map(Path::of);
    }

    /**
     * The path that the configuration sets, where an empty one turns saving off; by default a file
     * in the state folder.
     */
    private Optional<Path> warmStartFile(JsonObject root) {
        if (!root.has(WARM_START_KEY)) {
            return stateFolder().map(folder -> folder.resolve(WARM_START_FILE_NAME));
        }
        try {
            return Optional.of(root.text(WARM_START_KEY, ""))
                    .filter(path -> !path.isEmpty())
                    .map(Path::of);
        } catch (InvalidPathException e) {
            throw root.invalid(WARM_START_KEY, "is not a valid path");
        }
    }
}

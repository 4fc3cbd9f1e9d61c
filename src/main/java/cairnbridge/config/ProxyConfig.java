package cairnbridge.config;

import cairnbridge.decision.Settings;
import cairnbridge.decision.WarmStartState;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The configuration of one proxy, read at its start from environment variables and the JSON file
 * that {@code LB_CONFIG} names.
 *
 * @param name the name of the proxy in logs
 * @param seed the seed of the random number generator
 * @param network addresses, limits and timeouts
 * @param names names in requests and in the endpoint list that are mapped to numbers
 * @param readsLoadReports whether the proxy reads load reports of the caches
 * @param settings the settings of the decision module
 * @param initialEndpoints the endpoint list that the proxy starts with, in the format of
 *     discovery's answers
 * @param warmStartFile the file in which a process saves its warm start state for the next process;
 *     empty if the state is not saved
 * @param stateFolder the folder that all processes of this proxy share; empty if not set
 */
public record ProxyConfig(
        String name,
        long seed,
        Network network,
        Names names,
        boolean readsLoadReports,
        Settings settings,
        JsonObject initialEndpoints,
        Optional<Path> warmStartFile,
        Optional<Path> stateFolder) {

    /**
     * Addresses, limits and timeouts. Durations are in ticks.
     *
     * @param listen the address for clients; with port 0 the system picks a free port
     * @param discovery the address of the discovery agent
     * @param admin the address of the administration endpoint; empty if there is none
     * @param maxSockets the maximum number of open sockets
     * @param connectTimeout the maximum time to connect to a node or to discovery
     * @param idleTimeout the time after which an unused connection to a node is closed
     */
    public record Network(
            InetSocketAddress listen,
            InetSocketAddress discovery,
            Optional<InetSocketAddress> admin,
            int maxSockets,
            long connectTimeout,
            long idleTimeout) {}

    /**
     * Names that the proxy replaces by numbers internally: the number is the index in the list.
     *
     * @param categories the names of request classes, which are the first segments of request paths
     * @param machineKinds machine models in the endpoint list
     * @param zones availability zones in the endpoint list
     */
    public record Names(List<String> categories, List<String> machineKinds, List<String> zones) {}

    /**
     * Reads and checks the configuration file that the environment variables name.
     *
     * @throws ConfigurationException if the configuration is invalid
     */
    public static ProxyConfig read(Map<String, String> variables) {
        return new ProxyConfigReader(variables).read();
    }

    /** The same configuration without the endpoint list, which may be long. */
    public ProxyConfig withoutInitialEndpoints() {
        return new ProxyConfig(
                name,
                seed,
                network,
                names,
                readsLoadReports,
                settings,
                JsonObject.empty("known"),
                warmStartFile,
                stateFolder);
    }

    /**
     * Returns the path of the configuration file that the environment variables name.
     *
     * @throws ConfigurationException if no variable names one
     */
    public static Path file(Map<String, String> variables) {
        return new ProxyConfigReader(variables).file();
    }

    /**
     * A small configuration on the loopback address for the start that the build rehearses to
     * record the classes of the class data archive. Guards against a slow start that loads the
     * classes of the administration endpoint and of the files in the state folder without the
     * archive: the rehearsal uses both.
     */
    public static ProxyConfig rehearsal() {
        Map<String, String> variables = Map.of("TMPDIR", System.getProperty("java.io.tmpdir"));
        JsonObject root =
                JsonObject.parse(
                        """
                        {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9",
                         "known": {"all": true, "targets": []},
                         "admin_addr": "127.0.0.1:0", "learnt": "",
                         "settings": {"categories": [{"name": "read", "effect": "repeatable"}],
                          "host-types": ["cache", "origin"], "domain": {"mode": "aside", "origin-kind": 1},
                          "limits": {"most-pushes": 2, "cancel": true, "second-copies": true}}}
                        """,
                        "rehearsal");
        return new ProxyConfigReader(variables).read(root);
    }

    /** Reads the state that the previous process saved; the empty state if there is none. */
    public WarmStartState readWarmStart() {
        return warmStartFile.map(WarmStartFile::read).orElse(WarmStartState.EMPTY);
    }

    /** Saves the state for the next process, if a warm start file is configured. */
    public void writeWarmStart(WarmStartState state) throws IOException {
        if (warmStartFile.isPresent()) {
            WarmStartFile.write(warmStartFile.get(), state);
        }
    }
}

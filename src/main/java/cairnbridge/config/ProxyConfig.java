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
 * What one proxy is told at its start, read from the environment and the file that it names.
 *
 * @param name what the proxy is called in logs
 * @param seed the seed of its random choices
 * @param network addresses, limits and timeouts
 * @param names names that requests and the endpoint list use
 * @param readsLoadReports whether caches report their load
 * @param settings the settings of the decision module
 * @param initialEndpoints the endpoint list that the proxy starts with, in discovery's form
 * @param warmStartFile where what was learnt is kept from one process to the next; empty for
 *     nowhere
 * @param stateFolder a folder that processes of this proxy share; empty for none
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
     * Addresses, limits and timeouts. Times are ticks.
     *
     * @param listen where clients connect; port 0 takes any free one
     * @param discovery the agent of discovery
     * @param admin the administration endpoint; empty for none
     * @param maxSockets how many sockets the proxy may have open
     * @param connectTimeout for a connection to a node or to discovery
     * @param idleTimeout how long a connection to a node is kept unused
     */
    public record Network(
            InetSocketAddress listen,
            InetSocketAddress discovery,
            Optional<InetSocketAddress> admin,
            int maxSockets,
            long connectTimeout,
            long idleTimeout) {}

    /**
     * Names that stand for numbers inside the proxy: each for its place in its list.
     *
     * @param categories the first segments of request paths
     * @param machineKinds models of the endpoint list
     * @param zones availability zones of the endpoint list
     */
    public record Names(List<String> categories, List<String> machineKinds, List<String> zones) {}

    /**
     * Reads and checks the file that the variables name.
     *
     * @throws ConfigurationException if it cannot be used
     */
    public static ProxyConfig read(Map<String, String> variables) {
        return new ProxyConfigReader(variables).read();
    }

    /**
     * The configuration file that the variables name.
     *
     * @throws ConfigurationException if they name none
     */
    public static Path file(Map<String, String> variables) {
        return new ProxyConfigReader(variables).file();
    }

    /**
     * A small configuration on the loopback address, for the start that the build rehearses. Guards
     * against a start that loads anew what it needs for the administration endpoint and the files
     * in the state folder: both are in use there as well.
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

    /** What the process before this one has learnt; nothing where that was not kept. */
    public WarmStartState readWarmStart() {
        return warmStartFile.map(WarmStartFile::read).orElse(WarmStartState.EMPTY);
    }

    /** Keeps what this process has learnt for the next one, if there is a file for it. */
    public void writeWarmStart(WarmStartState learnt) throws IOException {
        if (warmStartFile.isPresent()) {
            WarmStartFile.write(warmStartFile.get(), learnt);
        }
    }
}

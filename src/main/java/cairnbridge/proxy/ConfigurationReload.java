package cairnbridge.proxy;

import cairnbridge.config.ConfigurationException;
import cairnbridge.config.ProxyConfig;
import java.net.InetSocketAddress;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Applies a changed configuration file to a running proxy. Only a new discovery address takes
 * effect before the next start. The reload runs on the thread that requests it.
 */
final class ConfigurationReload {
    private static final Logger LOG = Logger.getLogger(ConfigurationReload.class.getName());

    private final String proxyName;
    private final DiscoveryWatch discoveryWatch;

    /**
     * Creates the reload of one proxy's configuration.
     *
     * @param proxyName the proxy's name in log lines
     */
    ConfigurationReload(String proxyName, DiscoveryWatch discoveryWatch) {
        this.proxyName = proxyName;
        this.discoveryWatch = discoveryWatch;
    }

    /** Reads and applies the configuration; an unusable one is logged and changes nothing. */
    void reload(Supplier<ProxyConfig> reader) {
        try {
            InetSocketAddress discovery = reader.get().network().discovery();
            discoveryWatch.setDiscoveryAddress(discovery);
            LOG.log(
                    Level.INFO,
                    "{0} reloaded its configuration, discovery is {1}",
                    new Object[] {proxyName, discovery});
        } catch (ConfigurationException e) {
            LOG.log(
                    Level.SEVERE,
                    "{0} keeps its configuration: {1}",
                    new Object[] {proxyName, e.getMessage()});
        }
    }
}

package cairnbridge.proxy;

import cairnbridge.config.ConfigurationException;
import cairnbridge.config.ProxyConfig;
import java.net.InetSocketAddress;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Applies a changed configuration file to a running proxy. Of all settings only the address of
 * discovery takes effect before the next start. It runs on the thread that asks for the reload.
 */
final class ConfigurationReload {
    private static final Logger LOG = Logger.getLogger(ConfigurationReload.class.getName());

    private final String proxyName;
    private final DiscoveryWatch discoveryWatch;

    /**
     * Reloads nothing yet.
     *
     * @param proxyName the proxy as log lines name it
     */
    ConfigurationReload(String proxyName, DiscoveryWatch discoveryWatch) {
        this.proxyName = proxyName;
        this.discoveryWatch = discoveryWatch;
    }

    /** Reads the configuration and applies it; one that cannot be used is logged, and no more. */
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

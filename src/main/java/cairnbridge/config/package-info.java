/**
 * Reads and checks the configuration of a proxy: the environment variables, the JSON configuration
 * file and the TOML fleet file. No other package reads the configuration of a proxy.
 */
package cairnbridge.config;

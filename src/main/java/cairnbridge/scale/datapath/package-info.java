/**
 * Measures a real proxy process on loopback: its processor time by request and by the size of the
 * body, and its memory by idle client connections and by nodes in its list. Clients, cache nodes
 * and discovery are stand-ins in this process.
 */
package cairnbridge.scale.datapath;

/** Stand-ins for the systems around a proxy: cache servers, the origin, discovery and clients. */
package cairnbridge.drill.standin;

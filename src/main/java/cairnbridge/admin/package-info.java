/**
 * The administration endpoint of a running proxy: readiness, metrics and operator commands. Each
 * connection carries one request line; a dedicated thread serves them.
 */
package cairnbridge.admin;

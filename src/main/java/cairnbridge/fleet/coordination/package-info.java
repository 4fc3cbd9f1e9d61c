/**
 * Uses of the fleet's membership view: the assignment of shared tasks, the number of proxies that
 * share a limit, nodes that other members cannot reach, and the metrics that a proxy announces
 * about its own attempts. Decision logic only: no I/O, no clock, no threads; times are in {@link
 * cairnbridge.time.Ticks}.
 */
package cairnbridge.fleet.coordination;

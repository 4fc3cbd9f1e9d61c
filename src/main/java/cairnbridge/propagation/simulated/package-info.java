/** Runs the propagation state machines on a simulated network, for tests and measurements. */
package cairnbridge.propagation.simulated;

/** Propagation's state machines on a net that is only computed, for tests and measurements. */
package cairnbridge.propagation.simulated;

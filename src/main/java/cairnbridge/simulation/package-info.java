/**
 * Discrete-event simulation: the simulated clock and the event queue that all simulated networks
 * use.
 */
package cairnbridge.simulation;

/** Simulated disks and networks for the state machines of the store and the fleet. */
package cairnbridge.drill.simulated;

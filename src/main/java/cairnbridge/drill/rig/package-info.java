/**
 * Runs a scenario on real processes: starts proxies and stand-ins, injects faults and checks what
 * the scenario demands.
 */
package cairnbridge.drill.rig;

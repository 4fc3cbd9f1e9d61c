/** Scenario files: the description of a fleet and the steps of a run. */
package cairnbridge.drill.scenario;

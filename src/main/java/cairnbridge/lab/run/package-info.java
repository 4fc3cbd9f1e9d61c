/** Plays a scenario on models in simulated time, and records its figures. */
package cairnbridge.lab.run;

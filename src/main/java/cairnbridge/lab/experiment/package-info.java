/** Experiments: variants of scenarios and policies over several seeds, run and compared. */
package cairnbridge.lab.experiment;

/** Draws the records of runs and the results of experiments on one HTML page. */
package cairnbridge.lab.report;

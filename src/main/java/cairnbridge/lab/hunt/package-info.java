/**
 * Random search for scenarios in which the policy does worse than a baseline, and their reduction.
 */
package cairnbridge.lab.hunt;

/**
 * The policies that a simulated proxy may run: the decision module and baselines from the
 * literature.
 */
package cairnbridge.lab.policy;

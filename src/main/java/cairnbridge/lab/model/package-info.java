/**
 * Models in simulated time of caches, origin, clients, discovery and of what a proxy has around its
 * policy.
 */
package cairnbridge.lab.model;

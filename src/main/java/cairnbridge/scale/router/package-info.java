/**
 * Measures the decision module alone: what a request, a list and a changed entry cost it by the
 * number of nodes, and how far its bound on a node's load still acts when a proxy has few requests
 * in flight at each node.
 */
package cairnbridge.scale.router;

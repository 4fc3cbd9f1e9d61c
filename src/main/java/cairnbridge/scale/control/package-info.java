/**
 * Measures what the control part of a proxy costs: fleets of hollow proxies, which have a real
 * carrier and view but no clients, pool or caches, spread over several processes.
 */
package cairnbridge.scale.control;

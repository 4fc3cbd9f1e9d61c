/**
 * Applies a zone's route to requests: {@link cairnbridge.zones.routing.ZoneRouter} chooses the zone
 * for each key, {@link cairnbridge.zones.routing.LoadShedding} the share of each request category
 * to shed. No I/O.
 */
package cairnbridge.zones.routing;

package cairnbridge.zones.plan;

/**
 * A cache node of the endpoint list.
 *
 * @param id the id of the node
 * @param zone the zone that the node runs in
 * @param ready whether the list marks the node as ready for requests
 * @param size the relative capacity of the node according to the list
 * @param startedMillis the time of the node's last start, Unix time in milliseconds; 0 if it
 *     started long ago
 */
public record ListedNode(long id, Zone zone, boolean ready, double size, long startedMillis) {}

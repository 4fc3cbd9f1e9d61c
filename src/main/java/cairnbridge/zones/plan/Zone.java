package cairnbridge.zones.plan;

/**
 * A zone (failure domain) of the fleet. Ordered by name.
 *
 * @param name the name of the zone in the endpoint list
 */
public record Zone(String name) implements Comparable<Zone> {
    @Override
    public int compareTo(Zone other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}

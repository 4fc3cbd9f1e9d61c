package cairnbridge.zones.plan;

/** A zone's name, as the list of nodes has it. */
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

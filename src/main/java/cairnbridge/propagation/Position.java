package cairnbridge.propagation;

/**
 * The position of a change in the total order of its topic: by epoch first, then by version.
 *
 * @param epoch identifies the publisher; each start of a publisher needs a higher epoch
 * @param version the number of the change; it continues across epochs
 */
public record Position(long epoch, long version) implements Comparable<Position> {
    /** The position before the first change. */
    public static final Position NONE = new Position(0, 0);

    /** Rejects negative numbers. */
    public Position {
        if (epoch < 0 || version < 0) {
            throw new IllegalArgumentException("epoch and version cannot be negative");
        }
    }

    /** Whether this position is later than another. */
    public boolean isAfter(Position other) {
        return compareTo(other) > 0;
    }

    /** Returns the later of two positions. */
    public static Position later(Position one, Position other) {
        return one.isAfter(other) ? one : other;
    }

    @Override
    public int compareTo(Position other) {
        return epoch != other.epoch
                ? Long.compare(epoch, other.epoch)
                : Long.compare(version, other.version);
    }

    @Override
    public String toString() {
        return epoch + "." + version;
    }
}

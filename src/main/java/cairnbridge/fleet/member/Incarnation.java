package cairnbridge.fleet.member;

/**
 * Orders statements about one member: statements about a later incarnation replace those about an
 * earlier one (SWIM, section 4.2).
 *
 * @param generation the number of the process run, from 1; higher than that of every earlier run
 * @param refutation how many suspicions or death reports the member has refuted in this run
 */
public record Incarnation(long generation, int refutation) implements Comparable<Incarnation> {
    /** Checks the numbers. */
    public Incarnation {
        if (generation < 1 || refutation < 0) {
            throw new IllegalArgumentException("not a valid incarnation");
        }
    }

    /** The incarnation that this member takes next to refute a statement about itself. */
    public Incarnation next() {
        return new Incarnation(generation, refutation + 1);
    }

    /**
     * The lowest incarnation, not below this one, that replaces a statement about the given
     * incarnation.
     */
    public Incarnation superseding(Incarnation stated) {
        if (stated.generation > generation) {
            // The system clock was set back between two runs of the process.
            return new Incarnation(stated.generation + 1, 0);
        }
        boolean refutes = stated.generation == generation && stated.refutation >= refutation;
        return refutes ? stated.next() : this;
    }

    /** Whether both belong to the same run of the process. */
    public boolean isSameGeneration(Incarnation other) {
        return generation == other.generation;
    }

    @Override
    public int compareTo(Incarnation other) {
        return generation != other.generation
                ? Long.compare(generation, other.generation)
                : Integer.compare(refutation, other.refutation);
    }

    @Override
    public String toString() {
        return generation + "." + refutation;
    }
}

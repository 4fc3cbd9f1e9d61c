package cairnbridge.zones.consensus;

/**
 * The number of a proposal, unique within a fleet.
 *
 * @param round the round, compared first
 * @param proposer the name of the proposing member, compared if the rounds are equal
 */
public record Ballot(long round, String proposer) implements Comparable<Ballot> {
    /** Lower than the ballot of any proposal. */
    public static final Ballot NONE = new Ballot(0, "");

    /** The next ballot of a proposer, higher than both this ballot and another. */
    public Ballot superseding(Ballot other, String nextProposer) {
        return new Ballot(Math.max(round, other.round) + 1, nextProposer);
    }

    @Override
    public int compareTo(Ballot other) {
        return round != other.round
                ? Long.compare(round, other.round)
                : proposer.compareTo(other.proposer);
    }

    @Override
    public String toString() {
        return round + "." + proposer;
    }
}

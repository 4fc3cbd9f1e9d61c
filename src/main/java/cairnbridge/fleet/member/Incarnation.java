package cairnbridge.fleet.member;

/**
 * Which of a member's own words count: those of its latest life, and in that of its latest turn. A
 * life begins with the process; the member alone raises a turn, to refute what others say of it
 * (SWIM, section 4.2).
 */
public record Incarnation(long life, int turn) implements Comparable<Incarnation> {
    public Incarnation {
        if (life < 1 || turn < 0) {
            throw new IllegalArgumentException("is no incarnation");
        }
    }

    /** The first one of this member's that counts over what is said of another. */
    public Incarnation over(Incarnation said) {
        if (said.life > life) {
            return new Incarnation(said.life + 1, 0); // The clock went back between two lives.
        }
        return said.life == life && said.turn >= turn ? new Incarnation(life, said.turn + 1) : this;
    }

    @Override
    public int compareTo(Incarnation other) {
        return life != other.life
                ? Long.compare(life, other.life)
                : Integer.compare(turn, other.turn);
    }

    @Override
    public String toString() {
        return life + "." + turn;
    }
}

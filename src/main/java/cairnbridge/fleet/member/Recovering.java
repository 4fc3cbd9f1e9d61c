package cairnbridge.fleet.member;

/**
 * How far a member's return after a loss of power is, as it tells others.
 *
 * @param phase 0 where it has nothing to recover from, or is done; else the phase's place, from 1
 * @param pace ops that it would let be on their way to the origin at once
 * @param epochFloor the highest epoch of a plan over zones that it knows to have been in force
 */
public record Recovering(int phase, int pace, long epochFloor) {
    public static final Recovering NOT = new Recovering(0, 0, 0);
}

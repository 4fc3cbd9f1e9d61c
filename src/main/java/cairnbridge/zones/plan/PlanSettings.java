package cairnbridge.zones.plan;

/**
 * By what a plan is made. Spans in tenths of a millisecond.
 *
 * @param stepAway part of a zone's traffic that one step moves away at most
 * @param stepBack part that one step moves back at most
 * @param stepEvery between two steps
 * @param hold so long after a zone's last step away nothing of it moves back
 * @param fill part of a zone's room that is planned for; moved back only under backFill of it
 * @param trial part that an ill zone keeps, to be seen when it is well again
 * @param movedPerStep ops a second that one step may move to nodes that have not got their keys:
 *     the origin's to bear
 */
public record PlanSettings(
        double stepAway,
        double stepBack,
        long stepEvery,
        long hold,
        double fill,
        double backFill,
        double trial,
        double movedPerStep) {
    private static final long SECOND = 10_000;
    public static final PlanSettings USUAL =
            new PlanSettings(0.25, 0.1, SECOND, 10 * SECOND, 0.9, 0.75, 0.05, 200);
}

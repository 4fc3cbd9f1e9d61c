package cairnbridge.zones.plan;

import cairnbridge.time.Ticks;

/**
 * The limits for the steps of a {@link Planner}. Durations are in ticks.
 *
 * @param maxShareAway the maximum share of a zone's traffic that one step moves away from the zone
 * @param maxShareBack the maximum share of a zone's traffic that one step moves back to the zone
 * @param stepInterval the minimum time between two steps
 * @param holdDown the time after a zone has last lost traffic or been unhealthy during which no
 *     traffic returns to it
 * @param targetUtilization the fraction of a zone's capacity up to which plans assign traffic
 * @param returnUtilization the fraction of a zone's capacity up to which traffic returns; lower
 *     than the target, as hysteresis
 * @param degradedShare the share of its traffic that a degraded zone keeps, so that its recovery
 *     can be detected
 * @param maxMovedPerSecond the maximum requests a second that one step moves; their keys are not
 *     cached at the new nodes, so the origin has to serve them
 */
public record PlannerSettings(
        double maxShareAway,
        double maxShareBack,
        long stepInterval,
        long holdDown,
        double targetUtilization,
        double returnUtilization,
        double degradedShare,
        double maxMovedPerSecond) {
    /** The values of settings that the fleet file does not set. */
    public static final PlannerSettings DEFAULT =
            new PlannerSettings(0.25, 0.1, Ticks.SECOND, 10 * Ticks.SECOND, 0.9, 0.75, 0.05, 200);
}

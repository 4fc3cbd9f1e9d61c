/**
 * Computes zone plans: {@link cairnbridge.zones.plan.ZoneHealth} derives the status of each zone
 * from the announcements of members, {@link cairnbridge.zones.plan.Planner} derives the next plan
 * from the present plan and those statuses. The package performs no I/O and reads no clock;
 * durations are in {@link cairnbridge.time.Ticks}.
 */
package cairnbridge.zones.plan;

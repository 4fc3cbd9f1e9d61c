package cairnbridge.decision;

import cairnbridge.decision.Ids.ZoneId;

/**
 * Where a request's walk over the ring may go, by a plan that others make. Called on the router's
 * thread.
 */
public interface Placement {
    /** Nothing is planned: a request may go anywhere. */
    Placement ANYWHERE = (ringPoint, category) -> null;

    /** The zone of a request that is to be rejected at once. */
    ZoneId NOWHERE = new ZoneId(-1);

    /** The zone for a request, by its key's point on the ring and its category; null for any. */
    ZoneId zone(long ringPoint, Settings.Category category);
}

package cairnbridge.decision;

import cairnbridge.decision.Ids.ZoneId;

/**
 * Restricts a request's ring walk to a zone, according to a plan computed elsewhere. Called on the
 * router's thread.
 */
public interface Placement {
    /** No restriction: a request may go to any zone. */
    Placement ANYWHERE = (ringPoint, category) -> null;

    /** The zone returned for a request that is to be rejected immediately. */
    ZoneId NOWHERE = new ZoneId(-1);

    /**
     * Returns the zone for a request, from the position of its key on the ring and its category;
     * null for any zone.
     */
    ZoneId zone(long ringPoint, Settings.Category category);
}

package cairnbridge.decision;

import cairnbridge.decision.Ids.ZoneId;

/**
 * Where an op's walk may go, by a plan that others make; nothing here knows how. Called by the
 * module's thread.
 */
public interface Placement {
    /** Nothing is planned: an op may go anywhere. */
    Placement ANYWHERE = (point, category) -> null;

    /** An op of no zone: it is to be turned away at once. */
    ZoneId NOWHERE = new ZoneId(-1);

    /** The zone for an op, by its key's point on the ring and its category; null for any. */
    ZoneId zone(long point, Settings.Category category);
}

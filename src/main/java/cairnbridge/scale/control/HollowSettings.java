package cairnbridge.scale.control;

/**
 * What all hollow proxies of a run have in common.
 *
 * @param members the size of the fleet
 * @param nodes cache nodes that the zones share the probing of; 0 turns that use off
 * @param changingFigures whether load and rate change all the time, as they do under traffic
 * @param seed of all chance
 */
record HollowSettings(int members, int nodes, boolean changingFigures, long seed) {}

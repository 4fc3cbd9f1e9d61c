/** Measures what the periodic work of a fleet's member costs as members and nodes grow. */
package cairnbridge.scale.upkeep;

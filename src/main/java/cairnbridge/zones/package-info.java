/**
 * Zone plans: the shares of each zone's traffic that the zones of a fleet serve, proposed by one
 * member and agreed on by a majority of the voters. {@link cairnbridge.zones.ZonePlanCoordinator}
 * makes the decisions and performs no I/O; {@link cairnbridge.zones.ZoneMember} connects it with
 * the transport, the disk and the proxy. All classes are confined to the transport's thread, except
 * for methods whose comment allows any thread. {@code docs/design/zones.md} describes the
 * alternatives that were considered. The package is loaded only if the fleet file has a table
 * {@code [zones]}.
 */
package cairnbridge.zones;

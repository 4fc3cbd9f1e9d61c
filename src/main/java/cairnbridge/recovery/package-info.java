/**
 * A proxy's recovery from a power loss: which parts of the persisted state are used, in which order
 * kinds of requests are served again, and how many requests may reach an origin that has just
 * started. {@code docs/design/recovery.md} gives the reasons for the order.
 *
 * <p>Only {@link cairnbridge.recovery.DurableState}, which opens the state store, performs I/O.
 * {@link cairnbridge.recovery.RecoveryCoordinator} is used on the thread that owns the proxy's
 * decisions. It reads no clock, so that the same calls give the same results. Times are in {@link
 * cairnbridge.time.Ticks}. The classes are loaded only if the fleet file has a {@code [recovery]}
 * table.
 */
package cairnbridge.recovery;

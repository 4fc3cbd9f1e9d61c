/**
 * The membership protocol: every member's view of which members are in the fleet. {@link
 * cairnbridge.fleet.membership.SwimProtocol} is SWIM (Das, Gupta, Motivala 2002) with the suspicion
 * mechanism and the three corrections of Lifeguard (Dadgar, Phillips, Currey 2017), plus
 * anti-entropy; {@code docs/design/fleet-view.md} records the alternatives considered.
 *
 * <p>A statement is a member's state as another member, or the member itself, reports it. A run is
 * the time between the start and the end of a member's process; the generation in its incarnation
 * identifies the run.
 *
 * <p>The package is a state machine. It performs no I/O, reads no clock and starts no thread:
 * events enter through {@code SwimProtocol}, actions leave through {@link
 * cairnbridge.fleet.membership.MembershipHost}, and the same events lead to the same actions. One
 * thread calls it. {@link cairnbridge.fleet.membership.MembershipView} is immutable and may be read
 * by any thread. Times are in {@link cairnbridge.time.Ticks}.
 */
package cairnbridge.fleet.membership;

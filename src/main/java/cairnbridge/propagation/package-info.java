/**
 * Propagates versioned changes from one publisher to all members of a fleet over a tree of relays.
 * Reports travel up the same tree and are merged on the way, so that the publisher can tell at
 * which members each change is in force.
 *
 * <p>The classes here are state machines: they do no I/O, read no clock and start no thread.
 * Callers pass in the time, as ticks of a clock of their choice; only differences between readings
 * matter. Outgoing messages go to a {@link cairnbridge.propagation.PropagationHost}. A set of
 * instances carries one topic, for example configurations; topics share no state.
 *
 * <p>Alternatives, budgets and failure handling: docs/design/propagation.md.
 */
package cairnbridge.propagation;

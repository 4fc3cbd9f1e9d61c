/**
 * The decision module of a proxy: consistent hashing with bounded loads, admission, retries and
 * limits. It does no I/O and has no threads; events come in, calls on {@link
 * cairnbridge.decision.Host} go out. {@link cairnbridge.decision.Router} says which components a
 * request passes. Times and durations are ticks ({@link cairnbridge.time.Ticks}).
 */
package cairnbridge.decision;

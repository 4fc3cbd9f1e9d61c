/**
 * The decision module of a proxy: consistent hashing with bounded loads, admission control, retries
 * and concurrency limits. The module does no I/O and starts no threads: it receives events and
 * calls {@link cairnbridge.decision.Host}. {@link cairnbridge.decision.Router} describes the
 * components that a request passes through. Times and durations are ticks ({@link
 * cairnbridge.time.Ticks}).
 */
package cairnbridge.decision;

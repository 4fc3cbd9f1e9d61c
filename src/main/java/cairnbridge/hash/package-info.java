/**
 * Non-cryptographic hash functions whose values are part of the protocol between processes: every
 * process must compute the same value for the same input. The functions must never change.
 */
package cairnbridge.hash;

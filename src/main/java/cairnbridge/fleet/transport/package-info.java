/**
 * Carries the membership protocol over UDP and TCP: authenticated frames (HMAC-SHA-256), protection
 * against replayed datagrams, and a rate limit for datagrams sent. {@link
 * cairnbridge.fleet.transport.GossipTransport} owns one thread with a selector, on which all of the
 * protocol runs; methods that other threads may call are documented as such. The protocol, not this
 * package, decides about the state of members.
 */
package cairnbridge.fleet.transport;

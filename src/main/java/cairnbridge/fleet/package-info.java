/**
 * A proxy as a member of a fleet: combines the membership protocol, its transport, the features
 * that use the view, and zone plans, and answers operators' queries about the fleet. Loaded only
 * with {@code serve --fleet}.
 *
 * <p>Everything here runs on the transport's thread ({@code fleet}), except for methods that are
 * documented as callable by any thread.
 */
package cairnbridge.fleet;

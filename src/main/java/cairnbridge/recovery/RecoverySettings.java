package cairnbridge.recovery;

import cairnbridge.store.StoreSettings;

/**
 * The settings of recovery. Durations are in ticks.
 *
 * @param store the settings of the state store
 * @param maxStateAge the maximum age of a snapshot; of an older one only the nodes in maintenance,
 *     the generation and the plan epoch are used
 * @param quorumTimeout how long a proxy waits for a majority of members, then for a confirmed
 *     endpoint list and then for the origin; also for how long it does not use a list from
 *     discovery that is older than the one it had
 * @param initialOriginLimit the limit of requests in flight to the origin at first, over all
 *     proxies together
 * @param maxDuration recovery ends after this long, if there is an endpoint list by then
 */
public record RecoverySettings(
        StoreSettings store,
        long maxStateAge,
        long quorumTimeout,
        double initialOriginLimit,
        long maxDuration) {}

package cairnbridge.zones;

import cairnbridge.zones.plan.Plan;
import cairnbridge.zones.plan.Zone;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Drain and restore commands of operators that no agreed plan contains yet. Times are Unix time in
 * milliseconds.
 */
final class DrainRequests {
    /**
     * The pending request for each zone: the earliest restore time of a drain; empty for a restore.
     */
    private final Map<Zone, Optional<Long>> requests = new HashMap<>();

    boolean isEmpty() {
        return requests.isEmpty();
    }

    void drain(Zone zone, long untilMillis) {
        requests.put(zone, Optional.of(untilMillis));
    }

    void restore(Zone zone) {
        requests.put(zone, Optional.empty());
    }

    /**
     * Returns a plan's drained zones with the pending requests applied. A zone whose drain time has
     * not passed is not restored.
     */
    Map<Zone, Long> applyTo(Map<Zone, Long> drained, long nowMillis) {
        Map<Zone, Long> result = new HashMap<>(drained);
        requests.forEach(
                (zone, untilMillis) -> {
                    if (untilMillis.isPresent()) {
                        result.put(zone, untilMillis.get());
                    } else if (result.getOrDefault(zone, 0L) <= nowMillis) {
                        result.remove(zone);
                    }
                });
        return result;
    }

    /**
     * Removes the requests that an agreed plan has settled: drains that it contains, and all
     * restores.
     */
    void planAgreed(Plan plan) {
        requests.entrySet()
                .removeIf(
                        request ->
                                request.getValue().isEmpty()
                                        || plan.drained().containsKey(request.getKey()));
    }
}

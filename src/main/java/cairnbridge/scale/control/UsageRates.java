package cairnbridge.scale.control;

import cairnbridge.scale.control.HollowReply.Usage;
import java.util.LinkedHashMap;
import java.util.Map;

/** What a member used a second between two readings; members are counted as configured. */
final class UsageRates {
    private static final double NANOS = 1e9;
    private static final double PERCENT = 100;

    private UsageRates() {}

    /**
     * The rates by name.
     *
     * @param prefix of each name
     * @param datagrams sent in the machine's network namespace meanwhile
     */
    static Map<String, Number> between(
            String prefix, Usage before, Usage after, long datagrams, int members) {
        double seconds = (after.atNanos() - before.atNanos()) / NANOS;
        double memberSeconds = seconds * members;
        Map<String, Number> rates = new LinkedHashMap<>();
        rates.put(prefix + "_seconds", seconds);
        rates.put(
                prefix + "_cpu_percent_of_core_per_member",
                PERCENT
                        * (after.processCpuNanos() - before.processCpuNanos())
                        / NANOS
                        / memberSeconds);
        rates.put(
                prefix + "_carrier_cpu_percent_of_core_per_member",
                PERCENT
                        * (after.carrierCpuNanos() - before.carrierCpuNanos())
                        / NANOS
                        / memberSeconds);
        rates.put(
                prefix + "_bytes_sent_per_second_per_member",
                (after.bytesSent() - before.bytesSent()) / memberSeconds);
        rates.put(
                prefix + "_bytes_received_per_second_per_member",
                (after.bytesReceived() - before.bytesReceived()) / memberSeconds);
        rates.put(prefix + "_datagrams_sent_per_second_per_member", datagrams / memberSeconds);
        rates.put(
                prefix + "_view_comparisons_per_second_per_member",
                (after.syncs() - before.syncs()) / memberSeconds);
        rates.put(prefix + "_over_budget", after.overBudget() - before.overBudget());
        rates.put(prefix + "_failures", after.failures() - before.failures());
        rates.put(
                prefix + "_node_probes_per_second_per_member",
                (after.nodeProbes() - before.nodeProbes()) / memberSeconds);
        return rates;
    }
}

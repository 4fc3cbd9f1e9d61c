package cairnbridge.zones.routing;

import cairnbridge.decision.Settings;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * Distributes the share of requests that a plan sheds over the categories of requests: the lowest
 * priority weight is shed first.
 */
public final class LoadShedding {
    private LoadShedding() {}

    /**
     * Returns the share of each category's requests to shed.
     *
     * @param rates the recent request rate of each category, in the order of the categories
     * @param share the share of all requests to shed
     */
    public static Map<Settings.Category, Double> sharesToShed(
            List<Settings.Category> categories, double[] rates, double share) {
        double total = 0;
        for (double rate : rates) {
            total += rate;
        }
        Map<Settings.Category, Double> shares = new HashMap<>();
        double remaining = share * total;
        for (int i : byPriorityWeight(categories)) {
            double categoryShare = total <= 0 ? share : shareToShed(remaining, rates[i]);
            // Categories that are equal in every field share one map key, which gets the smaller
            // of their shares.
            shares.merge(categories.get(i), categoryShare, Math::min);
            remaining = Math.max(0, remaining - categoryShare * rates[i]);
        }
        return shares;
    }

    private static List<Integer> byPriorityWeight(List<Settings.Category> categories) {
        return IntStream.range(0, categories.size())
                .boxed()
                .sorted(Comparator.comparingDouble(i -> categories.get(i).priorityWeight()))
                .toList();
    }

    private static double shareToShed(double remaining, double rate) {
        if (rate <= 0) {
            return remaining > 0 ? 1 : 0;
        }
        return Math.min(1, remaining / rate);
    }
}

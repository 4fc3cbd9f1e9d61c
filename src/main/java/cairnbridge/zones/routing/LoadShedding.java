package cairnbridge.zones.routing;

import cairnbridge.decision.Settings;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/** Which requests are shed where a plan says how many: those of the least benefit first. */
public final class LoadShedding {
    private LoadShedding() {}

    /**
     * The share of each category's requests that is shed.
     *
     * @param rates requests that came lately, by category
     * @param share the share of all requests that is shed
     */
    public static Map<Settings.Category, Double> sharesToShed(
            List<Settings.Category> categories, double[] rates, double share) {
        double total = 0;
        for (double rate : rates) {
            total += rate;
        }
        Map<Settings.Category, Double> shares = new HashMap<>();
        double left = share * total;
        for (int i : byBenefit(categories)) {
            double own = total <= 0 ? share : shareOf(left, rates[i]);
            // Categories that are equal in every field are equal in benefit: the lesser share holds
            // for both.
            shares.merge(categories.get(i), own, Math::min);
            left = Math.max(0, left - own * rates[i]);
        }
        return shares;
    }

    private static List<Integer> byBenefit(List<Settings.Category> categories) {
        return IntStream.range(0, categories.size())
                .boxed()
                .sorted(Comparator.comparingDouble(i -> categories.get(i).priorityWeight()))
                .toList();
    }

    private static double shareOf(double left, double rate) {
        if (rate <= 0) {
            return left > 0 ? 1 : 0;
        }
        return Math.min(1, left / rate);
    }
}

package cairnbridge.recovery;

import cairnbridge.decision.Settings.Category;
import java.util.List;

/** Ranks the classes of requests by priority weight, and divides limits between them by rank. */
final class CategoryPriorities {
    /** The share of a limit that the class of the lowest priority may use. */
    private static final double LOWEST_SHARE = 0.5;

    private final double[] limitShares;
    private final boolean[] isHighest;

    CategoryPriorities(List<Category> categories) {
        List<Double> weights =
                categories.stream().map(Category::priorityWeight).distinct().sorted().toList();
        int topRank = weights.size() - 1;
        limitShares = new double[categories.size()];
        isHighest = new boolean[categories.size()];
        for (int i = 0; i < limitShares.length; i++) {
            int rank = weights.indexOf(categories.get(i).priorityWeight());
            limitShares[i] = topRank == 0 ? 1 : LOWEST_SHARE + (1 - LOWEST_SHARE) * rank / topRank;
            isHighest[i] = topRank > 0 && rank == topRank;
        }
    }

    /** The share of a limit that requests of a class may use together. */
    double limitShare(int category) {
        return limitShares[category];
    }

    /** Whether a class has the highest priority; false if all classes have the same priority. */
    boolean isHighest(int category) {
        return isHighest[category];
    }
}

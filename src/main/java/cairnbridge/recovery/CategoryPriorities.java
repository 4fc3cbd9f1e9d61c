package cairnbridge.recovery;

import cairnbridge.decision.Settings.Category;
import java.util.List;

/** The order of categories by their benefit, and how much of a limit each may take up. */
final class CategoryPriorities {
    /** The share of a limit that the category of the least benefit may take up. */
    private static final double LOWEST_SHARE = 0.5;

    private final double[] limitShares;
    private final boolean[] isHighest;

    CategoryPriorities(List<Category> categories) {
        List<Double> benefits =
                categories.stream().map(Category::priorityWeight).distinct().sorted().toList();
        int top = benefits.size() - 1;
        limitShares = new double[categories.size()];
        isHighest = new boolean[categories.size()];
        for (int i = 0; i < limitShares.length; i++) {
            int rank = benefits.indexOf(categories.get(i).priorityWeight());
            limitShares[i] = top == 0 ? 1 : LOWEST_SHARE + (1 - LOWEST_SHARE) * rank / top;
            isHighest[i] = top > 0 && rank == top;
        }
    }

    /** The share of a limit that requests of a category may take up. */
    double limitShare(int category) {
        return limitShares[category];
    }

    /** Whether a category has the highest benefit of several. */
    boolean isHighest(int category) {
        return isHighest[category];
    }
}

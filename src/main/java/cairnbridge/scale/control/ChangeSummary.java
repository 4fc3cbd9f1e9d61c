package cairnbridge.scale.control;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The median and the longest time over a play's changes. */
final class ChangeSummary {
    private ChangeSummary() {}

    /** Figures by name; a time is left out where no change has it. */
    static Map<String, Number> of(List<ChangeResult> changes) {
        Map<String, Number> figures = new LinkedHashMap<>();
        add(
                figures,
                "seconds_known_99_of_100",
                changes.stream()
                        .filter(ChangeResult::isKnownToMost)
                        .map(ChangeResult::secondsToMost)
                        .sorted()
                        .toList());
        add(
                figures,
                "seconds_known_all",
                changes.stream()
                        .filter(ChangeResult::isKnownToAll)
                        .map(ChangeResult::secondsToAll)
                        .sorted()
                        .toList());
        figures.put(
                "changes_not_known_to_all",
                changes.stream().filter(change -> !change.isKnownToAll()).count());
        return figures;
    }

    private static void add(Map<String, Number> figures, String name, List<Double> sorted) {
        if (!sorted.isEmpty()) {
            figures.put(name + "_median", sorted.get(sorted.size() / 2));
            figures.put(name + "_longest", sorted.get(sorted.size() - 1));
        }
    }
}

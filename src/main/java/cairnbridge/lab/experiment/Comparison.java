package cairnbridge.lab.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Medians over seeds with the least and the most, and paired differences to the first policy: a
 * figure of one seed is never shown alone.
 */
public final class Comparison {
    private Comparison() {}

    /** A table as text. */
    public static String table(Experiment experiment, List<Results.Line> lines) {
        StringBuilder text = new StringBuilder();
        text.append(
                String.format(
                        Locale.ROOT,
                        "%-24s %5s %-8s %-25s %-25s %8s %8s %6s %6s%n",
                        "SCENARIO",
                        "SIZE",
                        "POLICY",
                        "SERVICE (least to most)",
                        "AGAINST " + experiment.policies().get(0).word(),
                        "P99 MS",
                        "FETCHES",
                        "FELLED",
                        "TWICE"));
        Map<String, Map<Long, Results.Line>> groups = new LinkedHashMap<>();
        for (Results.Line line : lines) {
            groups.computeIfAbsent(
                            group(
                                    line.trial().scenario(),
                                    line.trial().size(),
                                    line.trial().policy().word()),
                            key -> new LinkedHashMap<>())
                    .put(line.trial().seed(), line);
        }
        groups.forEach(
                (key, bySeed) -> {
                    Experiment.Trial trial = bySeed.values().iterator().next().trial();
                    Map<Long, Results.Line> first =
                            groups.get(
                                    group(
                                            trial.scenario(),
                                            trial.size(),
                                            experiment.policies().get(0).word()));
                    List<Double> service =
                            all(bySeed, line -> line.sums().path("service").asDouble());
                    List<Double> against = new ArrayList<>();
                    bySeed.forEach(
                            (seed, line) ->
                                    against.add(
                                            line.sums().path("service").asDouble()
                                                    - first.get(seed)
                                                            .sums()
                                                            .path("service")
                                                            .asDouble()));
                    text.append(
                            String.format(
                                    Locale.ROOT,
                                    "%-24s %5d %-8s %-25s %-25s %8.1f %8.0f %6.0f %6.0f%n",
                                    trial.scenario(),
                                    trial.size(),
                                    trial.policy().word(),
                                    spread(service),
                                    first == bySeed ? "" : spread(against),
                                    median(
                                            all(
                                                    bySeed,
                                                    line -> line.sums().path("p99-ms").asDouble())),
                                    median(
                                            all(
                                                    bySeed,
                                                    line ->
                                                            line.sums()
                                                                    .path("fetches")
                                                                    .asDouble())),
                                    median(
                                            all(
                                                    bySeed,
                                                    line -> line.sums().path("felled").asDouble())),
                                    median(
                                            all(
                                                    bySeed,
                                                    line ->
                                                            line.sums()
                                                                    .path("twice")
                                                                    .asDouble()))));
                });
        return text.toString();
    }

    private static String group(String scenario, int size, String policy) {
        return scenario + " x" + size + " " + policy;
    }

    private static List<Double> all(
            Map<Long, Results.Line> lines, ToDoubleFunction<Results.Line> figure) {
        return lines.values().stream().mapToDouble(figure).boxed().toList();
    }

    private static String spread(List<Double> figures) {
        List<Double> sorted = figures.stream().sorted().toList();
        return String.format(
                Locale.ROOT,
                "%.4f (%.4f, %.4f)",
                median(figures),
                sorted.get(0),
                sorted.get(sorted.size() - 1));
    }

    /** Of one figure at least. */
    public static double median(List<Double> figures) {
        List<Double> sorted = figures.stream().sorted().toList();
        int half = sorted.size() / 2;
        return sorted.size() % 2 == 1
                ? sorted.get(half)
                : (sorted.get(half - 1) + sorted.get(half)) / 2;
    }
}

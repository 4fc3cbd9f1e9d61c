package cairnbridge.lab.report;

import cairnbridge.lab.experiment.Comparison;
import cairnbridge.lab.experiment.Experiment;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.axis.SymbolAxis;
import org.jfree.chart.renderer.xy.XYErrorRenderer;
import org.jfree.chart.ui.RectangleInsets;
import org.jfree.data.xy.YIntervalSeries;
import org.jfree.data.xy.YIntervalSeriesCollection;

/**
 * The pictures of an experiment: service by scenario and policy, and cost and times to settle
 * against size. Medians over seeds, from the least to the most; a figure of one seed is never shown
 * alone, so points of one seed are left out.
 */
final class ResultPlots {
    private static final Pattern TOOK = Pattern.compile("after ([0-9]+) ms");
    private static final int TWO = 2;

    /** What one combination came to, by seed. */
    private record Group(String scenario, int size, String policy, List<JsonNode> sums) {}

    private final String name;

    /** By their runs without the seed. */
    private final Map<Experiment.Trial, Group> groups = new LinkedHashMap<>();

    private ResultPlots(Lines results) {
        name = results.name();
        for (JsonNode line : results.lines()) {
            Experiment.Trial.of(line.path("key").asText())
                    .ifPresent(
                            trial ->
                                    groups.computeIfAbsent(
                                                    new Experiment.Trial(
                                                            trial.scenario(),
                                                            trial.size(),
                                                            trial.policy(),
                                                            0),
                                                    each ->
                                                            new Group(
                                                                    trial.scenario(),
                                                                    trial.size(),
                                                                    trial.policy().word(),
                                                                    new ArrayList<>()))
                                            .sums()
                                            .add(line.path("sums")));
        }
        groups.values().removeIf(group -> group.sums().size() < TWO);
    }

    static List<Plot> of(Lines results) {
        ResultPlots plots = new ResultPlots(results);
        List<Plot> all = new ArrayList<>();
        if (!plots.groups.isEmpty()) {
            all.add(
                    plots.byScenario(
                            "service",
                            "service",
                            "Part of all ops that was served.",
                            "part served"));
            all.add(
                    plots.byScenario(
                            "p99-ms",
                            "spans",
                            "Within so long 99 of 100 served ops were served.",
                            "ms"));
            all.add(
                    plots.byScenario(
                            "fetches",
                            "fetches",
                            "What the origin was asked for in all.",
                            "fetches"));
        }
        if (plots.groups.values().stream().mapToInt(Group::size).distinct().count() > 1) {
            plots.groups.values().stream()
                    .map(Group::scenario)
                    .distinct()
                    .forEach(scenario -> all.add(plots.settling(scenario)));
            all.add(plots.cost());
        }
        return all;
    }

    private static void add(YIntervalSeries series, double at, List<Double> figures) {
        series.add(
                at, Comparison.median(figures), Collections.min(figures), Collections.max(figures));
    }

    private static XYErrorRenderer points(boolean lines) {
        XYErrorRenderer renderer = new XYErrorRenderer();
        renderer.setDefaultLinesVisible(lines);
        renderer.setDrawXError(false);
        renderer.setCapLength(6);
        return renderer;
    }

    /** A place for each scenario and size, in it the policies beside one another. */
    private Plot byScenario(String field, String called, String says, String up) {
        List<String> places =
                new ArrayList<>(
                        new LinkedHashSet<>(
                                groups.values().stream().map(ResultPlots::place).toList()));
        List<String> policies =
                new ArrayList<>(
                        new LinkedHashSet<>(groups.values().stream().map(Group::policy).toList()));
        YIntervalSeriesCollection data = new YIntervalSeriesCollection();
        for (int i = 0; i < policies.size(); i++) {
            YIntervalSeries series = new YIntervalSeries(policies.get(i));
            double aside = (i - (policies.size() - 1) / 2.0) * 0.7 / policies.size();
            for (Group group : groups.values()) {
                if (group.policy().equals(policies.get(i))) {
                    add(
                            series,
                            places.indexOf(place(group)) + aside,
                            group.sums().stream()
                                    .map(sums -> sums.path(field).asDouble())
                                    .toList());
                }
            }
            data.addSeries(series);
        }
        SymbolAxis across = new SymbolAxis("", places.toArray(String[]::new));
        across.setRange(-0.5, places.size() - 0.5);
        across.setGridBandsVisible(false);
        across.setVerticalTickLabels(places.size() > 5);
        NumberAxis axis = new NumberAxis(up);
        axis.setAutoRangeIncludesZero(false);
        String title = Character.toUpperCase(called.charAt(0)) + called.substring(1);
        Plot plot =
                Plot.of(
                        name + "-" + called,
                        title,
                        says + " Median over seeds, from the least to the most.",
                        data,
                        across,
                        axis,
                        points(false));
        plot.chart().getPlot().setInsets(new RectangleInsets(4, 8, 4, 16));
        return plot;
    }

    private static String place(Group group) {
        return group.scenario() + (group.size() > 1 ? " x" + group.size() : "");
    }

    private Plot againstSize(
            String called,
            String title,
            String says,
            String up,
            Map<String, Map<Integer, List<Double>>> figures) {
        YIntervalSeriesCollection data = new YIntervalSeriesCollection();
        figures.forEach(
                (series, bySize) -> {
                    YIntervalSeries each = new YIntervalSeries(series);
                    bySize.forEach((size, all) -> add(each, size, all));
                    data.addSeries(each);
                });
        return Plot.of(
                name + "-" + called,
                title,
                says + " Median over seeds, from the least to the most.",
                data,
                Plot.powers("times as large", 0.5),
                Plot.fromZero(up),
                points(true));
    }

    /** Of each step that has to come true within a time, how long it took. */
    private Plot settling(String scenario) {
        Map<String, Map<Integer, List<Double>>> took = new TreeMap<>();
        for (Group group : groups.values()) {
            for (JsonNode sums :
                    group.scenario().equals(scenario) ? group.sums() : List.<JsonNode>of()) {
                for (JsonNode check : sums.path("checks")) {
                    Matcher span = TOOK.matcher(check.path("figures").asText());
                    if (span.find()) {
                        took.computeIfAbsent(
                                        group.policy()
                                                + ", line "
                                                + check.path("line").asInt()
                                                + " "
                                                + check.path("step").asText(),
                                        key -> new TreeMap<>())
                                .computeIfAbsent(group.size(), key -> new ArrayList<>())
                                .add(Double.parseDouble(span.group(1)) / 1000);
                    }
                }
            }
        }
        return againstSize(
                "settling-" + scenario,
                scenario + ": time to settle against size",
                "How long each step took that had to come true.",
                "s",
                took);
    }

    private Plot cost() {
        Map<String, Map<Integer, List<Double>>> cost = new TreeMap<>();
        for (Group group : groups.values()) {
            for (JsonNode sums : group.sums()) {
                double seconds = Math.max(1, sums.path("simulated-ms").asDouble()) / 1000;
                cost.computeIfAbsent(
                                group.scenario() + " " + group.policy(), key -> new TreeMap<>())
                        .computeIfAbsent(group.size(), key -> new ArrayList<>())
                        .add(sums.path("events").asDouble() / seconds / 1000);
            }
        }
        return againstSize(
                "cost",
                "Cost against size",
                "Events of the emulator in a simulated second.",
                "thousand events a second",
                cost);
    }
}

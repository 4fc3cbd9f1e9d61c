package cairnbridge.lab.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.text.NumberFormat;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;
import org.jfree.chart.axis.LogAxis;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.chart.renderer.xy.XYStepRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** The pictures of one run: load and service over time, spans, members, plans, the return. */
final class RunPlots {
    private static final double MILLIS = 1000;
    private final Lines run;

    private RunPlots(Lines run) {
        this.run = run;
    }

    /** Only what there is anything to see of. */
    static List<Plot> of(Lines run) {
        RunPlots plots = new RunPlots(run);
        List<Plot> all = new ArrayList<>();
        all.add(plots.load());
        all.add(plots.zones());
        all.add(plots.fetches());
        if (run.sums().path("spans").size() > 0) {
            all.add(plots.spans());
        }
        all.add(plots.members());
        if (run.samples().stream().anyMatch(each -> each.path("home").size() > 0)) {
            all.add(plots.plans());
        }
        if (run.samples().stream().anyMatch(each -> each.path("returning").asInt() > 0)) {
            all.add(plots.returning());
        }
        return all;
    }

    /** What a count grew by in each second that ends with a sample. */
    private XYSeries rate(String name, ToDoubleFunction<JsonNode> count) {
        XYSeries series = new XYSeries(name);
        JsonNode before = null;
        for (JsonNode each : run.samples()) {
            if (before != null) {
                double seconds =
                        (each.path("ms").asDouble() - before.path("ms").asDouble()) / MILLIS;
                if (seconds > 0) {
                    series.add(
                            each.path("ms").asDouble() / MILLIS,
                            (count.applyAsDouble(each) - count.applyAsDouble(before)) / seconds);
                }
            }
            before = each;
        }
        return series;
    }

    private XYSeries level(String name, ToDoubleFunction<JsonNode> figure) {
        XYSeries series = new XYSeries(name);
        run.samples()
                .forEach(
                        each ->
                                series.add(
                                        each.path("ms").asDouble() / MILLIS,
                                        figure.applyAsDouble(each)));
        return series;
    }

    private static ToDoubleFunction<JsonNode> field(String name) {
        return node -> node.path(name).asDouble();
    }

    private Plot plot(
            String name, String title, String says, String up, boolean steps, XYSeries... series) {
        XYSeriesCollection data = new XYSeriesCollection();
        for (XYSeries each : series) {
            data.addSeries(each);
        }
        NumberAxis axis = Plot.fromZero(up);
        if (steps) {
            axis.setStandardTickUnits(NumberAxis.createIntegerTickUnits());
        }
        return Plot.of(
                run.name() + "-" + name,
                title,
                says,
                data,
                Plot.seconds(),
                axis,
                steps ? new XYStepRenderer() : new XYLineAndShapeRenderer(true, false));
    }

    private Plot load() {
        return plot(
                "load",
                "Ops a second",
                "What clients asked for and what became of it.",
                "ops a second",
                false,
                rate("asked", field("asked")),
                rate("served", field("served")),
                rate("refused", field("refused")),
                rate(
                        "failed or lost",
                        each -> each.path("failed").asDouble() + each.path("lost").asDouble()),
                rate("repeats", field("repeats")));
    }

    private Plot zones() {
        Set<String> zones = new TreeSet<>();
        run.samples().forEach(each -> each.path("zones").fieldNames().forEachRemaining(zones::add));
        List<XYSeries> series = new ArrayList<>();
        for (String zone : zones) {
            ToDoubleFunction<JsonNode> asked =
                    each -> each.path("zones").path(zone).path("asked").asDouble();
            ToDoubleFunction<JsonNode> served =
                    each -> each.path("zones").path(zone).path("served").asDouble();
            series.add(rate("zone " + zone + " asked", asked));
            series.add(rate("zone " + zone + " served", served));
        }
        return plot(
                "zones",
                "Load and service by zone",
                "By the zone of the proxy that clients came to.",
                "ops a second",
                false,
                series.toArray(XYSeries[]::new));
    }

    private Plot fetches() {
        return plot(
                "origin",
                "The origin",
                "Fetches and writes a second.",
                "a second",
                false,
                rate("fetches and writes", field("fetches")));
    }

    private Plot members() {
        return plot(
                "members",
                "Members",
                "Processes that run, those that take clients, and how many the "
                        + "views hold alive, the least and the most of any member.",
                "proxies",
                true,
                level("running", field("running")),
                level("taking clients", field("taking")),
                level("held alive, least", field("least-held")),
                level("held alive, most", field("most-held")));
    }

    private Plot plans() {
        Set<String> zones = new TreeSet<>();
        run.samples().forEach(each -> each.path("home").fieldNames().forEachRemaining(zones::add));
        return plot(
                "plans",
                "Plans over zones",
                "The part of each zone's traffic that the newest plan " + "serves at home.",
                "thousandths",
                true,
                zones.stream()
                        .map(
                                zone ->
                                        level(
                                                "zone " + zone,
                                                each ->
                                                        each.path("home")
                                                                .path(zone)
                                                                .asDouble(MILLIS)))
                        .toArray(XYSeries[]::new));
    }

    private Plot returning() {
        return plot(
                "return",
                "Return after a loss of power",
                "Proxies that still hold something back.",
                "proxies",
                true,
                level("holding back", field("returning")));
    }

    /** As HdrHistogram's own plots: the rarer, the further to the right. */
    private Plot spans() {
        XYSeries series = new XYSeries("served within");
        for (JsonNode each : run.sums().path("spans")) {
            double percent = each.path(0).asDouble();
            double millis = each.path(1).asDouble();
            if (percent < 100 && millis > 0) {
                series.add(1 / (1 - percent / 100), millis);
            }
        }
        LogAxis across = new LogAxis("one op in so many takes longer");
        across.setSmallestValue(1);
        across.setNumberFormatOverride(NumberFormat.getInstance(Locale.ROOT));
        across.setStandardTickUnits(NumberAxis.createIntegerTickUnits());
        return Plot.of(
                run.name() + "-spans",
                "Spans",
                "From a client's first try to its answer, of ops that " + "were served.",
                new XYSeriesCollection(series),
                across,
                Plot.powers("ms", 0.1),
                new XYLineAndShapeRenderer(true, false));
    }
}

package cairnbridge.lab.run;

import cairnbridge.drill.simulated.Agenda;
import cairnbridge.lab.model.ProxyModel;
import cairnbridge.recovery.Phase;
import cairnbridge.zones.plan.Zone;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.HistogramIterationValue;

/** What is counted and sampled while a run goes on, and the outcome that comes of it. */
final class Measurements {
    private static final long SAMPLE = Agenda.SECOND / 2;
    private static final int TICKS_A_HALVING = 4;

    private final EmulatedFleet models;
    private final List<Outcome.Sample> samples = new ArrayList<>();
    private long servedBefore, endedBefore, nearBefore, placedBefore, peak;

    Measurements(EmulatedFleet models) {
        this.models = models;
    }

    /** The samples so far, the oldest first. */
    List<Outcome.Sample> samples() {
        return samples;
    }

    /** The most fetches of the origin in one second since the last count. */
    long peak() {
        return peak;
    }

    /** Begins a span over which parts and peaks are measured. */
    void count() {
        servedBefore = models.counts.served;
        endedBefore = models.counts.ended();
        nearBefore = models.placed(counts -> counts.near);
        placedBefore = models.placed();
        peak = 0;
    }

    /** Ops that have ended since the last count, at least 1. */
    long endedSinceCount() {
        return Math.max(1, models.counts.ended() - endedBefore);
    }

    /** Of the ops that have ended since the last count, the part that was served. */
    double partServed() {
        return (double) (models.counts.served - servedBefore) / endedSinceCount();
    }

    /** Ops that were placed by a zone plan since the last count, at least 1. */
    long placedSinceCount() {
        return Math.max(1, models.placed() - placedBefore);
    }

    /** Of the ops placed since the last count, the part that was placed near. */
    double partNear() {
        long near = models.placed(counts -> counts.near) - nearBefore;
        return (double) near / placedSinceCount();
    }

    /** Of all ops that have ended, the part that was answered in time. */
    double partAnswered() {
        return 1 - (double) models.counts.lost / Math.max(1, models.counts.ended());
    }

    /**
     * What came of the run.
     *
     * @param held whether all checks held
     */
    Outcome outcome(boolean held, List<Outcome.Check> checks) {
        Map<String, String> crashes = new LinkedHashMap<>();
        models.proxies.values().stream()
                .filter(proxy -> !proxy.crash().isEmpty())
                .forEach(proxy -> crashes.put(proxy.name(), proxy.crash()));
        long felled = models.felled();
        return new Outcome(
                held && crashes.isEmpty(),
                (models.agenda.now() - EmulatedFleet.EPOCH) / Agenda.MILLI,
                models.counts.asked,
                models.counts.served,
                models.counts.refused,
                models.counts.failed,
                models.counts.lost,
                models.counts.repeats,
                models.origin.fetches(),
                models.origin.turnedAway(),
                models.origin.twice(),
                felled,
                models.proxies.values().stream().mapToLong(ProxyModel::pushes).sum(),
                models.agenda.done(),
                models.counts.spans.getValueAtPercentile(50) / 10.0,
                models.counts.spans.getValueAtPercentile(99) / 10.0,
                spans(),
                List.copyOf(samples),
                List.copyOf(checks),
                crashes);
    }

    private Map<String, Outcome.ZoneCount> zoneCounts() {
        Map<String, Outcome.ZoneCount> zones = new LinkedHashMap<>();
        models.counts.zones.forEach(
                (zone, count) -> zones.put(zone, new Outcome.ZoneCount(count[0], count[1])));
        return zones;
    }

    private List<Outcome.Span> spans() {
        List<Outcome.Span> spans = new ArrayList<>();
        if (models.counts.spans.getTotalCount() > 0) {
            for (HistogramIterationValue each : models.counts.spans.percentiles(TICKS_A_HALVING)) {
                spans.add(
                        new Outcome.Span(
                                each.getPercentileLevelIteratedTo(),
                                each.getValueIteratedTo() / 10.0));
            }
        }
        return spans;
    }

    private Map<String, Integer> homeParts() {
        Map<String, Integer> parts = new LinkedHashMap<>();
        models.planning().stream()
                .max(Comparator.comparingLong(proxy -> proxy.zones().plan().epoch()))
                .ifPresent(
                        proxy ->
                                models.scenario
                                        .zones()
                                        .forEach(
                                                name ->
                                                        parts.put(
                                                                name,
                                                                proxy.zones()
                                                                        .plan()
                                                                        .row(new Zone(name))
                                                                        .to(new Zone(name)))));
        return parts;
    }

    void sample() {
        long fetched = models.origin.fetches() + models.origin.writes();
        samples.add(
                new Outcome.Sample(
                        (models.agenda.now() - EmulatedFleet.EPOCH) / Agenda.MILLI,
                        models.counts.asked,
                        models.counts.served,
                        models.counts.refused,
                        models.counts.failed,
                        models.counts.lost,
                        models.counts.repeats,
                        fetched,
                        zoneCounts(),
                        (int)
                                models.proxies.values().stream()
                                        .filter(ProxyModel::isRunning)
                                        .count(),
                        (int) models.taking.values().stream().filter(ProxyModel::isRunning).count(),
                        models.fleet.leastHeld(),
                        models.fleet.mostHeld(),
                        (int)
                                models.proxies.values().stream()
                                        .filter(
                                                proxy ->
                                                        proxy.isRunning()
                                                                && proxy.back() != null
                                                                && proxy.back().phase()
                                                                        != Phase.ALL)
                                        .count(),
                        homeParts()));
        if (samples.size() > 2) {
            peak = Math.max(peak, fetched - samples.get(samples.size() - 3).fetches());
        }
        models.agenda.in(SAMPLE, this::sample);
    }
}

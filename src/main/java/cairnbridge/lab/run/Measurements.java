package cairnbridge.lab.run;

import cairnbridge.lab.model.ProxyModel;
import cairnbridge.recovery.RecoveryPhase;
import cairnbridge.simulation.EventQueue;
import cairnbridge.zones.plan.Plan;
import cairnbridge.zones.plan.Zone;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.HdrHistogram.HistogramIterationValue;

/** What is counted and sampled while a run goes on, and the outcome that comes of it. */
final class Measurements {
    private static final long SAMPLE = EventQueue.SECOND / 2;

    /** How many samples are taken in a second. */
    static final int SAMPLES_A_SECOND = (int) (EventQueue.SECOND / SAMPLE);

    private static final int TICKS_A_HALVING = 4;

    private final EmulatedFleet models;
    private final List<Outcome.Sample> samples = new ArrayList<>();
    private long servedBefore;
    private long endedBefore;
    private long nearBefore;
    private long placedBefore;
    private long peak;

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
        nearBefore = models.placed(counts -> counts.local);
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
        long near = models.placed(counts -> counts.local) - nearBefore;
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
        return new Outcome(
                held && crashes.isEmpty(),
                (models.agenda.now() - EmulatedFleet.EPOCH) / EventQueue.MILLI,
                models.counts.asked,
                models.counts.served,
                models.counts.refused,
                models.counts.failed,
                models.counts.lost,
                models.counts.repeats,
                models.origin.fetches(),
                models.origin.turnedAway(),
                models.origin.twice(),
                models.felled(),
                models.proxies.values().stream().mapToLong(ProxyModel::pushes).sum(),
                models.agenda.eventsRun(),
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

    /** By zone, the part of its traffic that the newest plan serves at home. */
    private Map<String, Integer> homeParts() {
        Map<String, Integer> parts = new LinkedHashMap<>();
        models.planning().stream()
                .map(proxy -> proxy.zones().plan())
                .max(Comparator.comparingLong(Plan::epoch))
                .ifPresent(plan -> homeParts(plan, parts));
        return parts;
    }

    private void homeParts(Plan plan, Map<String, Integer> parts) {
        for (String name : models.scenario.zones()) {
            Zone zone = new Zone(name);
            parts.put(name, plan.routeOf(zone).shareOf(zone));
        }
    }

    /** Takes a sample now and then every half second. */
    void sample() {
        long fetched = models.origin.fetches() + models.origin.writes();
        samples.add(sample(fetched));
        if (samples.size() > SAMPLES_A_SECOND) {
            long aSecondAgo = samples.get(samples.size() - 1 - SAMPLES_A_SECOND).fetches();
            peak = Math.max(peak, fetched - aSecondAgo);
        }
        models.agenda.schedule(SAMPLE, this::sample);
    }

    private Outcome.Sample sample(long fetched) {
        return new Outcome.Sample(
                (models.agenda.now() - EmulatedFleet.EPOCH) / EventQueue.MILLI,
                models.counts.asked,
                models.counts.served,
                models.counts.refused,
                models.counts.failed,
                models.counts.lost,
                models.counts.repeats,
                fetched,
                zoneCounts(),
                count(models.proxies, ProxyModel::isRunning),
                count(models.taking, ProxyModel::isRunning),
                models.fleet.leastHeld(),
                models.fleet.mostHeld(),
                count(models.proxies, Measurements::isRecovering),
                homeParts());
    }

    private static int count(Map<String, ProxyModel> proxies, Predicate<ProxyModel> which) {
        return (int) proxies.values().stream().filter(which).count();
    }

    /** Whether a proxy still holds something back after a loss of power. */
    private static boolean isRecovering(ProxyModel proxy) {
        return proxy.isRunning()
                && proxy.back() != null
                && proxy.back().phase() != RecoveryPhase.SERVE_ALL;
    }
}

package cairnbridge.lab.run;

import cairnbridge.drill.scenario.Step;
import cairnbridge.lab.model.ProxyModel;
import cairnbridge.recovery.RecoveryPhase;
import cairnbridge.simulation.EventQueue;
import cairnbridge.zones.plan.ZoneRoute;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/** Checks what a scenario's steps say must hold, and keeps the results in order. */
final class StepChecks {
    private static final long QUIET = 4 * EventQueue.SECOND;

    /** How long to wait until a condition is looked at again. */
    private static final long LOOK = EventQueue.SECOND / 10;

    private final EmulatedFleet models;
    private final Measurements measurements;
    private final List<Outcome.Check> checks = new ArrayList<>();
    private double earlier;
    private long powerAt;
    private boolean held = true;

    StepChecks(EmulatedFleet models, Measurements measurements) {
        this.models = models;
        this.measurements = measurements;
    }

    /** Whether all checks so far have held. */
    boolean held() {
        return held;
    }

    /** The checks so far, in order. */
    List<Outcome.Check> checks() {
        return List.copyOf(checks);
    }

    /** Notes that power is back from now on. */
    void powerBack() {
        powerAt = models.agenda.now();
    }

    /** Notes the service, in ops a second, that later steps compare with. */
    void earlier(double perSecond) {
        earlier = perSecond;
    }

    /** Checks what a step says, at once or until its time is up. */
    void check(Step step) {
        switch (step.verb()) {
            case AGREE ->
                    within(step, 1, () -> fleet().net().disagreement().isEmpty(), "all agree");
            case NOBODY_FALSELY_DEAD ->
                    none(
                            step,
                            fleet().falseDeaths(),
                            " times one that could be heard was held dead");
            case SERVING -> within(step, 2, () -> all(step, this::isServing), "all serve");
            case CONFIRMED -> {
                BooleanSupplier confirmed = () -> all(step, StepChecks::isConfirmed);
                within(step, 2, confirmed, "each has a confirmed list");
            }
            case RECOVERED -> {
                BooleanSupplier recovered = () -> all(step, StepChecks::isRecovered);
                within(step, 2, recovered, "each holds nothing back");
            }
            case SERVICE_BACK -> serviceBack(step);
            case NOTHING_BACK -> within(step, 1, models::holdsNoOlderList, "no list is lower");
            case UNTOUCHED -> {
                String uid = step.words().get(0);
                none(step, models.askedSinceHeld(uid), " sent to " + uid);
            }
            case TOUCHED -> {
                String uid = step.words().get(0);
                within(step, 2, () -> models.caches.get(uid).asked() > 0, uid + " is in use");
            }
            case SERVED -> {
                long ended = measurements.endedSinceCount();
                atLeast(step, measurements.partServed(), ended, "were served");
            }
            case ANSWERED_IN_TIME -> {
                long ended = models.counts.ended();
                atLeast(step, measurements.partAnswered(), ended, "were answered");
            }
            case NO_EFFECT_TWICE -> none(step, models.origin.twice(), " effects twice");
            case NONE_FELLED -> none(step, models.felled(), " times a cold cache was pushed over");
            case ORIGIN_PEAK -> atMost(step, measurements.peak(), " fetches in the worst second");
            case ORIGIN_TURNED_AWAY ->
                    atMost(step, models.origin.turnedAway(), " turned away by the origin");
            default -> checkZones(step);
        }
    }

    private void checkZones(Step step) {
        switch (step.verb()) {
            case ZONE_OUT -> {
                String zone = step.words().get(0);
                BooleanSupplier out = () -> models.servesAtHome(zone, 0);
                within(step, 2, out, "zone " + zone + " is out of use");
            }
            case ZONE_HOME -> {
                String zone = step.words().get(0);
                BooleanSupplier home = () -> models.servesAtHome(zone, ZoneRoute.TOTAL);
                within(step, 2, home, "zone " + zone + " serves its own");
            }
            case ZONES_SETTLED -> settled(step);
            case REVERSALS -> atMost(step, fleet().reversals(), " reversals of a zone");
            case NEAR -> {
                long placed = measurements.placedSinceCount();
                atLeast(step, measurements.partNear(), placed, "placed near");
            }
            default -> throw new IllegalArgumentException("no check for " + step.verb().word());
        }
    }

    private FleetSide fleet() {
        return models.fleet;
    }

    private boolean isServing(ProxyModel proxy) {
        return models.taking.containsValue(proxy);
    }

    private static boolean isConfirmed(ProxyModel proxy) {
        return proxy.back() != null && proxy.back().isConfirmed();
    }

    private static boolean isRecovered(ProxyModel proxy) {
        return proxy.back() != null && proxy.back().phase() == RecoveryPhase.SERVE_ALL;
    }

    private boolean all(Step step, Predicate<ProxyModel> condition) {
        return models.members(step, 0).stream()
                .map(models.proxies::get)
                .allMatch(proxy -> proxy != null && condition.test(proxy));
    }

    /** Checks that the proxies hold one epoch of the zone plan and keep it for some seconds. */
    private void settled(Step step) {
        Set<Long> last = new LinkedHashSet<>();
        long[] since = {models.agenda.now()};
        BooleanSupplier settled =
                () -> {
                    Set<Long> epochs = epochs();
                    if (!epochs.equals(last)) {
                        last.clear();
                        last.addAll(epochs);
                        since[0] = models.agenda.now();
                    }
                    return epochs.size() == 1 && models.agenda.now() - since[0] >= QUIET;
                };
        within(step, 1, settled, "one epoch, no step for " + QUIET / EventQueue.SECOND + " s");
    }

    private Set<Long> epochs() {
        Set<Long> epochs = new LinkedHashSet<>();
        models.planning().forEach(proxy -> epochs.add(proxy.zones().plan().epoch()));
        return epochs;
    }

    /** Checks when the service was back to a part of what it was, from the power's return on. */
    private void serviceBack(Step step) {
        double wanted = step.part(0) * earlier;
        String good = step.words().get(0) + " of the service is back";
        within(step, 2, () -> millisUntilServed(wanted) >= 0, good);
        long back = millisUntilServed(wanted);
        String figures = "back " + back + " ms after the power";
        checks.add(new Outcome.Check(step.line(), step.verb().word(), back >= 0, figures));
    }

    /**
     * When the first second with enough ops served began, in milliseconds after the power's return;
     * -1 if there was none yet.
     */
    private long millisUntilServed(double wanted) {
        long powerMillis = (powerAt - EmulatedFleet.EPOCH) / EventQueue.MILLI;
        List<Outcome.Sample> samples = measurements.samples();
        for (int i = Measurements.SAMPLES_A_SECOND; i < samples.size(); i++) {
            Outcome.Sample before = samples.get(i - Measurements.SAMPLES_A_SECOND);
            boolean enough = samples.get(i).served() - before.served() >= wanted;
            if (enough && before.millis() >= powerMillis) {
                return before.millis() - powerMillis;
            }
        }
        return -1;
    }

    /** Lets time pass until a condition holds or the step's time is up, and notes which. */
    private void within(Step step, int word, BooleanSupplier condition, String good) {
        long from = models.agenda.now();
        long most = step.millis(word) * EventQueue.MILLI;
        while (!condition.getAsBoolean() && models.agenda.now() - from < most) {
            models.agenda.runUntil(models.agenda.now() + LOOK);
        }
        long millis = (models.agenda.now() - from) / EventQueue.MILLI;
        holds(step, condition.getAsBoolean(), good + " after " + millis + " ms");
    }

    private void none(Step step, long count, String what) {
        holds(step, count == 0, count + what);
    }

    private void atMost(Step step, long count, String what) {
        holds(step, count <= step.number(1), count + what);
    }

    private void atLeast(Step step, double part, long of, String what) {
        String figures = String.format(Locale.ROOT, "%.4f of %d ops %s", part, of, what);
        holds(step, part >= step.part(1), figures);
    }

    /** Notes whether a step held, with its figures. */
    void holds(Step step, boolean holds, String figures) {
        held &= holds;
        checks.add(new Outcome.Check(step.line(), step.verb().word(), holds, figures));
    }
}

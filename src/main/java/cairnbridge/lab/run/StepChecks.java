package cairnbridge.lab.run;

import cairnbridge.drill.scenario.Step;
import cairnbridge.drill.simulated.Agenda;
import cairnbridge.lab.model.ProxyModel;
import cairnbridge.recovery.Phase;
import cairnbridge.zones.plan.Row;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/** Checks what a scenario's steps say must hold, and keeps the results in order. */
final class StepChecks {
    private static final long QUIET = 4 * Agenda.SECOND;

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

    /** One epoch, and no step for some seconds. */
    private void settled(Step step) {
        Set<Long> last = new LinkedHashSet<>();
        long[] since = {models.agenda.now()};
        within(
                step,
                1,
                () -> {
                    Set<Long> epochs = new LinkedHashSet<>();
                    models.planning().forEach(proxy -> epochs.add(proxy.zones().plan().epoch()));
                    if (!epochs.equals(last)) {
                        last.clear();
                        last.addAll(epochs);
                        since[0] = models.agenda.now();
                    }
                    return epochs.size() == 1 && models.agenda.now() - since[0] >= QUIET;
                },
                "one epoch, no step for " + QUIET / Agenda.SECOND + " s");
    }

    /** Lets time pass until it holds, or no longer; says how long that took. */
    private void within(Step step, int word, BooleanSupplier what, String good) {
        long from = models.agenda.now();
        long most = step.millis(word) * Agenda.MILLI;
        while (!what.getAsBoolean() && models.agenda.now() - from < most) {
            models.agenda.until(models.agenda.now() + Agenda.SECOND / 10);
        }
        holds(
                step,
                what.getAsBoolean(),
                good + " after " + (models.agenda.now() - from) / Agenda.MILLI + " ms");
    }

    private boolean all(Step step, Predicate<ProxyModel> what) {
        return models.members(step, 0).stream()
                .map(models.proxies::get)
                .allMatch(proxy -> proxy != null && what.test(proxy));
    }

    /** From when power is back, as the drill counts it. */
    private void serviceBack(Step step) {
        double wanted = step.part(0) * earlier;
        long[] back = {-1};
        within(
                step,
                2,
                () -> {
                    for (int i = 2; i < measurements.samples().size() && back[0] < 0; i++) {
                        long began = measurements.samples().get(i - 2).millis();
                        boolean enough =
                                measurements.samples().get(i).served()
                                                - measurements.samples().get(i - 2).served()
                                        >= wanted;
                        if (began >= (powerAt - EmulatedFleet.EPOCH) / Agenda.MILLI && enough) {
                            back[0] = began - (powerAt - EmulatedFleet.EPOCH) / Agenda.MILLI;
                        }
                    }
                    return back[0] >= 0;
                },
                step.words().get(0) + " of the service is back");
        checks.add(
                new Outcome.Check(
                        step.line(),
                        step.verb().word(),
                        back[0] >= 0,
                        "back " + back[0] + " ms after the power"));
    }

    /** Checks what a step says, at once or until its time is up. */
    void check(Step step) {
        switch (step.verb()) {
            case AGREE ->
                    within(step, 1, () -> models.fleet.net().disagreement().isEmpty(), "all agree");
            case NOBODY_FALSELY_DEAD ->
                    holds(
                            step,
                            models.fleet.falseDeaths() == 0,
                            models.fleet.falseDeaths()
                                    + " times one that could be heard was held dead");
            case SERVING ->
                    within(
                            step,
                            2,
                            () -> all(step, proxy -> models.taking.containsValue(proxy)),
                            "all serve");
            case CONFIRMED ->
                    within(
                            step,
                            2,
                            () ->
                                    all(
                                            step,
                                            proxy ->
                                                    proxy.back() != null
                                                            && proxy.back().isConfirmed()),
                            "each has a confirmed list");
            case RECOVERED ->
                    within(
                            step,
                            2,
                            () ->
                                    all(
                                            step,
                                            proxy ->
                                                    proxy.back() != null
                                                            && proxy.back().phase() == Phase.ALL),
                            "each holds nothing back");
            case SERVICE_BACK -> serviceBack(step);
            case NOTHING_BACK -> within(step, 1, models::holdsNoOlderList, "no list is lower");
            case ZONE_OUT ->
                    within(
                            step,
                            2,
                            () -> models.servesAtHome(step.words().get(0), 0),
                            "zone " + step.words().get(0) + " is out of use");
            case ZONE_HOME ->
                    within(
                            step,
                            2,
                            () -> models.servesAtHome(step.words().get(0), Row.ALL),
                            "zone " + step.words().get(0) + " serves its own");
            case ZONES_SETTLED -> settled(step);
            case REVERSALS ->
                    holds(
                            step,
                            models.fleet.reversals() <= step.number(1),
                            models.fleet.reversals() + " reversals of a zone");
            case NEAR -> {
                long all = measurements.placedSinceCount();
                double part = measurements.partNear();
                holds(
                        step,
                        part >= step.part(1),
                        String.format(Locale.ROOT, "%.4f of %d ops placed near", part, all));
            }
            case UNTOUCHED -> {
                String uid = step.words().get(0);
                long sent = models.askedSinceHeld(uid);
                holds(step, sent == 0, sent + " sent to " + uid);
            }
            case TOUCHED ->
                    within(
                            step,
                            2,
                            () -> models.caches.get(step.words().get(0)).asked() > 0,
                            step.words().get(0) + " is in use");
            case SERVED -> {
                long all = measurements.endedSinceCount();
                double part = measurements.partServed();
                holds(
                        step,
                        part >= step.part(1),
                        String.format(Locale.ROOT, "%.4f of %d ops were served", part, all));
            }
            case ANSWERED_IN_TIME -> {
                double part = measurements.partAnswered();
                holds(
                        step,
                        part >= step.part(1),
                        String.format(
                                Locale.ROOT,
                                "%.4f of %d ops were answered",
                                part,
                                models.counts.ended()));
            }
            case NO_EFFECT_TWICE ->
                    holds(
                            step,
                            models.origin.twice() == 0,
                            models.origin.twice() + " effects twice");
            case NONE_FELLED ->
                    holds(
                            step,
                            models.felled() == 0,
                            models.felled() + " times a cold cache was pushed over");
            case ORIGIN_PEAK ->
                    holds(
                            step,
                            measurements.peak() <= step.number(1),
                            measurements.peak() + " fetches in the worst second");
            default ->
                    holds(
                            step,
                            models.origin.turnedAway() <= step.number(1),
                            models.origin.turnedAway() + " turned away by the origin");
        }
    }

    /** Notes whether a step held, with its figures. */
    void holds(Step step, boolean holds, String figures) {
        held &= holds;
        checks.add(new Outcome.Check(step.line(), step.verb().word(), holds, figures));
    }
}

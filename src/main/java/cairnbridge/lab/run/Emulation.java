package cairnbridge.lab.run;

import cairnbridge.config.ConfigurationException;
import cairnbridge.decision.Event.NodeState;
import cairnbridge.drill.scenario.Scenario;
import cairnbridge.drill.scenario.ScenarioFault;
import cairnbridge.drill.scenario.Step;
import cairnbridge.drill.standin.CacheBehavior;
import cairnbridge.lab.policy.Policy;
import cairnbridge.simulation.EventQueue;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Plays a drill's scenario on models, with the real decision code at every proxy, in simulated
 * time. Make one with a scenario, a policy and a seed, and run it once; the same three give the
 * same record, byte for byte. A step that is not modelled is a ScenarioFault that names its line,
 * before anything is played.
 */
public final class Emulation {
    private static final Set<Step.Verb> MODELLED =
            EnumSet.of(
                    Step.Verb.START,
                    Step.Verb.WAIT,
                    Step.Verb.KILL,
                    Step.Verb.STOP,
                    Step.Verb.FREEZE,
                    Step.Verb.THAW,
                    Step.Verb.CACHE_SLOW,
                    Step.Verb.CACHE_FAILS,
                    Step.Verb.CACHE_GREY,
                    Step.Verb.CACHE_KILL,
                    Step.Verb.CACHE_START,
                    Step.Verb.CACHE_LISTED,
                    Step.Verb.ORIGIN_SLOW,
                    Step.Verb.ORIGIN_PLACES,
                    Step.Verb.DISCOVERY,
                    Step.Verb.LOAD,
                    Step.Verb.ZONE_LOAD,
                    Step.Verb.COUNT,
                    Step.Verb.SERVED,
                    Step.Verb.ANSWERED_IN_TIME,
                    Step.Verb.NO_EFFECT_TWICE,
                    Step.Verb.NONE_FELLED,
                    Step.Verb.ORIGIN_PEAK,
                    Step.Verb.ORIGIN_TURNED_AWAY,
                    Step.Verb.POWER_LOSS,
                    Step.Verb.POWER_BACK,
                    Step.Verb.COST,
                    Step.Verb.AGREE,
                    Step.Verb.LOSS,
                    Step.Verb.CUT,
                    Step.Verb.ONE_WAY,
                    Step.Verb.HEAL,
                    Step.Verb.NOBODY_FALSELY_DEAD,
                    Step.Verb.EARLIER,
                    Step.Verb.START_OVER,
                    Step.Verb.SERVING,
                    Step.Verb.CONFIRMED,
                    Step.Verb.RECOVERED,
                    Step.Verb.SERVICE_BACK,
                    Step.Verb.LIST_BACK,
                    Step.Verb.NOTHING_BACK,
                    Step.Verb.SNAPSHOT_OLDER,
                    Step.Verb.SNAPSHOT_AHEAD,
                    Step.Verb.SNAPSHOT_TORN,
                    Step.Verb.HOLD,
                    Step.Verb.FREE,
                    Step.Verb.UNTOUCHED,
                    Step.Verb.TOUCHED,
                    Step.Verb.DRAIN,
                    Step.Verb.RESTORE,
                    Step.Verb.ZONE_OUT,
                    Step.Verb.ZONE_HOME,
                    Step.Verb.ZONES_SETTLED,
                    Step.Verb.REVERSALS,
                    Step.Verb.NEAR);

    /** The part of the seed's random choices that start-over steps draw from. */
    private static final long START_OVER_CHANCE = 50;

    private final Scenario scenario;
    private final EmulatedFleet models;
    private final Measurements measurements;
    private final StepChecks checks;

    /**
     * Builds the models.
     *
     * @param scenario what is played
     * @param policy makes what decides at each proxy
     * @param seed of all random choices
     */
    public Emulation(Scenario scenario, Policy.Maker policy, long seed) {
        this.scenario = scenario;
        scenario.steps().forEach(Emulation::isModelled);
        scenario.keys().keySet().forEach(Emulation::isModelled);
        models = new EmulatedFleet(scenario, policy, seed);
        measurements = new Measurements(models);
        checks = new StepChecks(models, measurements);
    }

    private static void isModelled(Step step) {
        if (!MODELLED.contains(step.verb())) {
            throw new ScenarioFault(step.line(), step.verb().word() + " is not modelled yet");
        }
    }

    private static void isModelled(String key) {
        if (!key.startsWith("recovery.") && !key.startsWith("zones.")) {
            throw new ConfigurationException(key, "is not modelled yet");
        }
    }

    /** Plays all steps; ends at the first that does not hold. */
    public Outcome run() {
        if (scenario.caches() > 0 && scenario.load() > 0) {
            models.load("", scenario.load());
        }
        measurements.sample();
        for (Step step : scenario.steps()) {
            take(step);
            if (!checks.held()) {
                break;
            }
        }
        return measurements.outcome(checks.held(), checks.checks());
    }

    private void take(Step step) {
        switch (step.verb()) {
            case START -> start(step);
            case WAIT -> models.pass(step.millis(0));
            case KILL -> models.members(step, 0).forEach(name -> models.kill(name, true));
            case STOP -> models.members(step, 0).forEach(name -> models.kill(name, false));
            case FREEZE -> models.members(step, 0).forEach(name -> models.freeze(name, true));
            case THAW -> models.members(step, 0).forEach(name -> models.freeze(name, false));
            case POWER_LOSS -> step.names(0).forEach(models::losePower);
            case POWER_BACK -> checks.powerBack();
            case START_OVER -> startOver(step);
            case SNAPSHOT_OLDER -> shiftSnapshots(step, -step.millis(1));
            case SNAPSHOT_AHEAD -> shiftSnapshots(step, step.millis(1));
            case SNAPSHOT_TORN -> models.members(step, 0).forEach(models.fleet::tears);
            case LOSS -> models.fleet.net().loss = step.part(0);
            case CUT -> models.cut(step);
            case ONE_WAY -> cutOneWay(step);
            case HEAL -> models.fleet.heals();
            case LOAD -> models.load("", step.number(0));
            case ZONE_LOAD -> models.load(step.words().get(0), step.number(1));
            case EARLIER -> measureEarlierService(step);
            case COUNT -> measurements.count();
            case COST ->
                    checks.holds(
                            step, true, "not looked at on models: a proxy costs nothing there");
            case DRAIN, RESTORE -> tellZones(step);
            default -> takeNodeStep(step);
        }
    }

    /** Steps that change the caches, the origin or what discovery tells of them. */
    private void takeNodeStep(Step step) {
        switch (step.verb()) {
            case CACHE_SLOW -> {
                long serviceTime = step.millis(1) * EventQueue.MILLI;
                models.caches.get(step.words().get(0)).behavior().serviceTime(serviceTime);
            }
            case CACHE_FAILS -> behaviors(step).forEach(each -> each.failing(isYes(step)));
            case CACHE_GREY -> behaviors(step).forEach(each -> each.grey(isYes(step)));
            case CACHE_KILL -> step.names(0).forEach(models::killCache);
            case CACHE_START -> step.names(0).forEach(models::startCache);
            case CACHE_LISTED -> {
                NodeState state = listedState(step.words().get(1));
                step.names(0).forEach(uid -> models.roster.state(uid, state));
            }
            case HOLD -> models.hold(step.words().get(0), true);
            case FREE -> models.hold(step.words().get(0), false);
            case ORIGIN_SLOW -> models.origin.span(step.millis(0) * EventQueue.MILLI);
            case ORIGIN_PLACES -> models.origin.places(step.number(0));
            case DISCOVERY -> switchDiscovery(step);
            case LIST_BACK -> models.roster.back(step.number(0));
            default -> checks.check(step);
        }
    }

    private void start(Step step) {
        models.members(step, 0).forEach(models::start);
        models.agenda.runUntil(models.agenda.now() + EmulatedFleet.STARTS + 1);
    }

    /** Starts proxies again after a loss of power, each at a time of its own within a span. */
    private void startOver(Step step) {
        checks.powerBack();
        RandomGenerator chance = models.chance(START_OVER_CHANCE);
        long span = step.millis(1) * EventQueue.MILLI;
        for (String name : models.members(step, 0)) {
            models.agenda.schedule(chance.nextLong(span + 1), () -> models.start(name));
        }
    }

    private void shiftSnapshots(Step step, long millis) {
        models.members(step, 0).forEach(name -> models.fleet.shifts(name, millis));
    }

    private void cutOneWay(Step step) {
        for (String from : step.names(0)) {
            step.names(1).forEach(to -> models.fleet.cutOneWay(from, to));
        }
    }

    private void switchDiscovery(Step step) {
        boolean down = step.words().get(0).equals("down");
        List<String> names = step.words().size() > 1 ? models.members(step, 1) : models.members();
        names.forEach(name -> models.roster.down(name, down));
    }

    private void measureEarlierService(Step step) {
        long before = models.counts.served;
        models.pass(step.millis(0));
        checks.earlier(1000.0 * (models.counts.served - before) / step.millis(0));
    }

    /** Passes a request of staff to the zone plans, as the administration endpoint does. */
    private void tellZones(Step step) {
        String request = step.verb().word() + " " + String.join(" ", step.words());
        String answer = models.planning().get(0).zones().staff(request);
        checks.holds(step, answer.startsWith("200 "), answer);
    }

    private List<CacheBehavior> behaviors(Step step) {
        return step.names(0).stream().map(uid -> models.caches.get(uid).behavior()).toList();
    }

    private static NodeState listedState(String word) {
        return switch (word) {
            case "Ready" -> NodeState.READY;
            case "Gone" -> NodeState.GONE;
            default -> NodeState.DRAINING;
        };
    }

    private static boolean isYes(Step step) {
        return step.words().get(1).equals("yes");
    }
}

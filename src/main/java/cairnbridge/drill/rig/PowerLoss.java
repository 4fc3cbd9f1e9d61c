package cairnbridge.drill.rig;

import cairnbridge.drill.scenario.Step;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * The steps of a drill in which power is lost: what is lost and started, and how the service comes
 * back.
 */
final class PowerLoss {
    private static final int WINDOW_MILLIS = 1_000;

    /** What a member told before it was killed. */
    private record Told(long life, long epoch, long roster) {}

    private final Drill drill;
    private final Rig rig;
    private final EventLog events;
    private final Map<String, Told> before = new TreeMap<>();
    private final Map<String, Long> pushesBefore = new HashMap<>();
    private double earlier;
    private long powerAt;

    PowerLoss(Drill drill, Rig rig, EventLog events) {
        this.drill = drill;
        this.rig = rig;
        this.events = events;
    }

    void take(Step step) throws IOException, InterruptedException {
        switch (step.verb()) {
            case EARLIER -> {
                long from = events.millis();
                Thread.sleep(step.millis(0));
                earlier = rig.servedBetween(from, events.millis());
                drill.says(step, String.format(Locale.ROOT, "%.1f ops/s served", earlier));
            }
            case POWER_LOSS -> lose(step);
            case START_OVER -> {
                powerAt = events.millis();
                rig.startOver(drill.members(step, 0), step.millis(1));
            }
            case POWER_BACK -> powerAt = events.millis();
            case HOLD, FREE -> staff(step);
            case SERVING ->
                    drill.until(
                            step,
                            step.millis(2),
                            () -> {
                                for (String name : drill.members(step, 0)) {
                                    if (!rig.proxy(name).serves) {
                                        return name + " does not serve yet";
                                    }
                                }
                                return "";
                            },
                            "all serve");
            case CONFIRMED -> figure(step, "recovery.confirmed", 1, "has a confirmed list");
            case RECOVERED -> figure(step, "recovery.phase", 6, "holds nothing back");
            case SERVICE_BACK -> serviceBack(step);
            case UNTOUCHED -> {
                String uid = step.words().get(0);
                long pushes = rig.cache(uid).asked() - pushesBefore.getOrDefault(uid, 0L);
                drill.holds(
                        step,
                        pushes == 0,
                        "nothing was sent to " + uid,
                        pushes + " sent to " + uid);
            }
            case TOUCHED -> {
                String uid = step.words().get(0);
                drill.until(
                        step,
                        step.millis(2),
                        () -> rig.cache(uid).asked() > 0 ? "" : "nothing was sent to " + uid,
                        uid + " is in use");
            }
            case ORIGIN_TURNED_AWAY -> {
                long many = rig.origin().turnedAway.sum();
                drill.holds(
                        step,
                        many <= step.number(1),
                        many + " turned away by the origin",
                        many + " turned away by the origin");
            }
            case NOTHING_BACK -> nothingBack(step);
            case DISK_FULL ->
                    drill.members(step, 0).forEach(name -> rig.proxy(name).diskFull = true);
            case DISK_WELL -> {
                for (String name : drill.members(step, 0)) {
                    rig.proxy(name).diskFull = false;
                    rig.proxy(name).stall(false);
                }
            }
            case DISK_STALLS -> {
                for (String name : drill.members(step, 0)) {
                    rig.proxy(name).stall(true);
                }
            }
            case SNAPSHOT_OLDER, SNAPSHOT_AHEAD -> {
                long by = step.millis(1) * (step.verb() == Step.Verb.SNAPSHOT_OLDER ? -1 : 1);
                for (String name : drill.members(step, 0)) {
                    rig.proxy(name).shiftSnapshot(by);
                }
            }
            case SNAPSHOT_TORN -> {
                for (String name : drill.members(step, 0)) {
                    rig.proxy(name).tearSnapshot();
                }
            }
            case ORIGIN_PLACES -> rig.origin().places(step.number(0));
            case LIST_BACK -> rig.listBack(step.number(0));
            default -> {
                for (String name : drill.members(step, 0)) {
                    drill.holds(
                            step,
                            rig.proxy(name).hasSaid(step.words().get(1).replace('_', ' ')),
                            name + " said so",
                            name + " has not said so");
                }
            }
        }
    }

    private void lose(Step step) throws IOException, InterruptedException {
        List<String> names = drill.members(step, 0);
        for (String name : names) {
            if (rig.proxies().stream().anyMatch(proxy -> proxy.name.equals(name))
                    && rig.proxy(name).running) {
                remember(name);
            }
        }
        for (String uid : names) {
            if (pushesBefore.containsKey(uid)) {
                // Its counts go with it: what came until now stays in the sum.
                pushesBefore.put(uid, pushesBefore.get(uid) - rig.cache(uid).asked());
            }
        }
        rig.losePower(names);
    }

    /** For what may not go back: as its own door tells it, just before. */
    private void remember(String name) {
        try {
            for (JsonNode member : rig.proxy(name).members().path("members")) {
                if (member.path("id").asText().equals(name)) {
                    Told old = before.getOrDefault(name, new Told(0, 0, 0));
                    before.put(
                            name,
                            new Told(
                                    Math.max(old.life(), member.path("life").asLong()),
                                    Math.max(old.epoch(), member.path("epoch").asLong()),
                                    Math.max(old.roster(), member.path("roster").asLong())));
                }
            }
        } catch (IOException e) {
            events.event("remember", name, "says nothing: " + e.getMessage());
        }
    }

    private void nothingBack(Step step) throws IOException, InterruptedException {
        drill.until(
                step,
                step.millis(1),
                () -> {
                    for (ProxyProcess proxy : rig.running()) {
                        Told was = before.get(proxy.name);
                        for (JsonNode member : proxy.members().path("members")) {
                            if (was != null && member.path("id").asText().equals(proxy.name)) {
                                Told is =
                                        new Told(
                                                member.path("life").asLong(),
                                                member.path("epoch").asLong(),
                                                member.path("roster").asLong());
                                if (is.life() <= was.life()
                                        || is.epoch() < was.epoch()
                                        || is.roster() < was.roster()) {
                                    return proxy.name + " told " + was + " and tells " + is;
                                }
                            }
                        }
                    }
                    return "";
                },
                "lives are higher, no epoch and no list lower");
    }

    private void staff(Step step) throws IOException {
        String uid = step.words().get(0);
        String call = (step.verb() == Step.Verb.HOLD ? "maint-on " : "maint-off ") + uid;
        String answers = "";
        boolean good = true;
        for (ProxyProcess proxy : rig.running()) {
            String answer = proxy.ask(call).strip();
            good &= answer.startsWith("200 ");
            answers = proxy.name + ": " + answer;
        }
        pushesBefore.put(uid, rig.cache(uid).asked());
        drill.holds(step, good, answers, answers);
    }

    private void figure(Step step, String name, long wanted, String good)
            throws IOException, InterruptedException {
        drill.until(
                step,
                step.millis(2),
                () -> {
                    for (String member : drill.members(step, 0)) {
                        long figure = rig.proxy(member).figure(name);
                        if (figure != wanted) {
                            return member + " has " + name + " " + figure;
                        }
                    }
                    return "";
                },
                "each " + good);
    }

    /**
     * The first second in which so great a part of the earlier rate was served, from when power
     * came back.
     */
    private void serviceBack(Step step) throws IOException, InterruptedException {
        double wanted = step.part(0) * earlier;
        long[] at = {-1};
        drill.until(
                step,
                step.millis(2),
                () -> {
                    long now = events.millis();
                    for (long from = powerAt; from + WINDOW_MILLIS <= now; from += 100) {
                        if (rig.servedBetween(from, from + WINDOW_MILLIS) >= wanted) {
                            at[0] = from;
                            return "";
                        }
                    }
                    return String.format(
                            Locale.ROOT,
                            "%.1f ops/s served in the last second",
                            rig.servedBetween(now - WINDOW_MILLIS, now));
                },
                step.words().get(0) + " of the service is back");
        if (at[0] < 0) {
            return;
        }
        long serves = rig.firstServing(powerAt);
        long best =
                FullKnowledge.millisTo(step.part(0), rig.loadNow(), rig.origin().perSecond(), 1);
        drill.says(
                step,
                "back "
                        + (at[0] - powerAt)
                        + " ms after the power, the first proxy after "
                        + (serves - powerAt)
                        + " ms; with full knowledge "
                        + best
                        + " ms after that");
    }
}

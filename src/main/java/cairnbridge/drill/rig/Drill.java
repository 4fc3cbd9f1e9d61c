package cairnbridge.drill.rig;

import cairnbridge.drill.scenario.Scenario;
import cairnbridge.drill.scenario.Step;
import cairnbridge.drill.standin.Clients;
import cairnbridge.hash.Fnv1a;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Plays one scenario: steps are done in order, and what must hold is looked at until it does or its
 * time is up. Leaves a record of events in a folder and gives a verdict.
 */
public final class Drill {
    private static final long LOOK_MILLIS = 100;
    private static final long START_MILLIS = 60_000;
    private static final long QUIET_MILLIS = 4_000;

    /**
     * held: whether all that must hold did; lines: one a step that says something, with its
     * figures.
     */
    public record Verdict(boolean held, List<String> lines) {}

    /** What no time will mend. */
    private static final class Hopeless extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Hopeless(String what) {
            super(what);
        }
    }

    /** A condition that is looked at again and again. */
    interface Looks {
        /** Empty where it holds. */
        String wrong() throws IOException;
    }

    private final Scenario scenario;
    private final Path folder;
    private final Consumer<String> out;
    private final int patience;
    private final List<String> lines = new ArrayList<>();
    private final List<Set<String>> parts = new ArrayList<>();

    /** Each member's life when it was last agreed on, and the time before. */
    private final Map<String, Long> agreed = new HashMap<>();

    private final Map<String, Long> agreedBefore = new HashMap<>();

    private EventLog events;
    private Rig rig;
    private PowerLoss power;
    private boolean held = true;
    private long served;
    private long ended;
    private long calls;
    private long near;
    private long placed;
    private long cpu;
    private long cpuAt;

    /**
     * folder: where the record and the processes' files go; out is told each line of the verdict at
     * once.
     */
    public Drill(Scenario scenario, Path folder, Consumer<String> out) {
        this(scenario, folder, out, 1);
    }

    /**
     * patience: by how many times each limit of time is longer, on a machine that others use as
     * well.
     */
    public Drill(Scenario scenario, Path folder, Consumer<String> out, int patience) {
        this.patience = patience;
        this.scenario = scenario;
        this.folder = folder;
        this.out = out;
    }

    /**
     * Ends at the first step that does not hold; every process it started is gone when it returns.
     */
    public Verdict run() throws IOException, InterruptedException {
        Files.createDirectories(folder);
        try (EventLog log = new EventLog(folder.resolve("events.jsonl"));
                Rig fleet = new Rig(scenario, folder, log)) {
            events = log;
            rig = fleet;
            power = new PowerLoss(this, fleet, log);
            // Guards against proxies left behind by a drill that is told to end.
            Runtime.getRuntime().addShutdownHook(new Thread(fleet::end, "drill's end"));
            rig.load("", scenario.caches() > 0 ? scenario.load() : 0);
            rig.countPeak();
            for (Step step : scenario.steps()) {
                events.event(
                        "step",
                        "drill",
                        "line "
                                + step.line()
                                + ": "
                                + step.verb().word()
                                + " "
                                + String.join(" ", step.words()));
                take(step);
                for (ProxyProcess proxy : rig.proxies()) {
                    if (proxy.running && !proxy.isAlive()) {
                        fails(step, proxy.name + " has ended by itself");
                    }
                }
                if (!held) {
                    break;
                }
            }
            if (scenario.caches() > 0) {
                String all = "in all: " + fleet.tally();
                lines.add(all);
                out.accept(all);
            }
        }
        return new Verdict(held, List.copyOf(lines));
    }

    void says(Step step, String text) {
        String line = "line " + step.line() + " " + step.verb().word() + ": " + text;
        lines.add(line);
        out.accept(line);
        events.event("verdict", "drill", line);
    }

    private void fails(Step step, String text) {
        held = false;
        says(step, "DOES NOT HOLD, " + text);
    }

    List<String> members(Step step, int word) {
        List<String> names = step.names(word);
        return names.equals(List.of("all"))
                ? rig.proxies().stream().map(proxy -> proxy.name).toList()
                : names;
    }

    private void take(Step step) throws IOException, InterruptedException {
        switch (step.verb()) {
            case START -> start(step);
            case WAIT -> Thread.sleep(step.millis(0));
            case KILL -> {
                for (String name : members(step, 0)) {
                    rig.kill(name);
                }
            }
            case STOP -> members(step, 0).forEach(rig::terminate);
            case FREEZE, THAW -> {
                for (String name : members(step, 0)) {
                    rig.freeze(name, step.verb() == Step.Verb.FREEZE);
                }
            }
            case LIFE -> members(step, 0).forEach(name -> rig.life(name, step.words().get(1)));
            case PROTOCOL ->
                    members(step, 0).forEach(name -> rig.protocol(name, step.words().get(1)));
            case CUT -> cut(step);
            case ONE_WAY ->
                    rig.change(step.words().get(0), step.words().get(1), rule -> rule.cut(true));
            case LOSS -> rig.changeAll(rule -> rule.loses(step.part(0)));
            case DOUBLE -> rig.changeAll(rule -> rule.doubles(step.part(0)));
            case REORDER -> rig.changeAll(rule -> rule.reorders(step.part(0)));
            case DELAY -> rig.changeAll(rule -> rule.delays(step.millis(0)));
            case HEAL -> {
                parts.clear();
                rig.heal();
            }
            case CACHE_SLOW ->
                    rig.cache(step.words().get(0)).behavior().serviceTime(step.millis(1));
            case CACHE_FAILS ->
                    step.names(0)
                            .forEach(
                                    uid ->
                                            rig.cache(uid)
                                                    .behavior()
                                                    .failing(step.words().get(1).equals("yes")));
            case CACHE_GREY ->
                    step.names(0)
                            .forEach(
                                    uid ->
                                            rig.cache(uid)
                                                    .behavior()
                                                    .grey(step.words().get(1).equals("yes")));
            case ORIGIN_SLOW -> rig.origin().span(step.millis(0));
            case DISCOVERY ->
                    rig.discovery(
                            step.words().get(0).equals("up"),
                            step.words().size() > 1
                                    ? members(step, 1)
                                    : rig.proxies().stream().map(proxy -> proxy.name).toList());
            case CACHE_LISTED -> step.names(0).forEach(uid -> rig.lists(uid, step.words().get(1)));
            case LOAD -> rig.load("", step.number(0));
            case ZONE_LOAD -> rig.load(step.words().get(0), step.number(1));
            case CACHE_KILL -> step.names(0).forEach(rig::killCache);
            case CACHE_START -> {
                for (String uid : step.names(0)) {
                    rig.startCache(uid);
                }
            }
            case DRAIN, RESTORE -> staff(step);
            case COUNT -> count();
            default -> {
                if (step.isOfPower()) {
                    power.take(step);
                } else {
                    look(step);
                }
            }
        }
    }

    private void start(Step step) throws IOException, InterruptedException {
        List<String> names = members(step, 0);
        for (String name : names) {
            rig.start(name);
        }
        long from = events.millis();
        until(
                step,
                START_MILLIS,
                () -> {
                    for (String name : names) {
                        ProxyProcess proxy = rig.proxy(name);
                        if (!proxy.isAlive()) {
                            throw new Hopeless(
                                    name
                                            + " has ended at its start, its last line: "
                                            + proxy.lastLine);
                        }
                        if (!proxy.serves) {
                            return name + " does not serve yet";
                        }
                    }
                    return "";
                },
                "all serve");
        events.event("started", "drill", names.size() + " in " + (events.millis() - from) + " ms");
    }

    private void cut(Step step) {
        parts.clear();
        Set<String> left = new TreeSet<>();
        rig.proxies().forEach(proxy -> left.add(proxy.name));
        String[] words = String.join("", step.words()).split("\\|");
        for (String word : words) {
            if (!word.equals("rest")) {
                Set<String> part =
                        new HashSet<>(new Step(step.line(), step.verb(), List.of(word)).names(0));
                parts.add(part);
                left.removeAll(part);
            }
        }
        if (List.of(words).contains("rest") || words.length == 1) {
            parts.add(left);
        }
        for (Set<String> one : parts) {
            for (Set<String> other : parts) {
                if (one != other) {
                    one.forEach(
                            from ->
                                    other.forEach(
                                            to -> rig.change(from, to, rule -> rule.cut(true))));
                }
            }
        }
    }

    private void count() {
        served = sum(clients -> clients.served.sum());
        cpu = rig.running().stream().mapToLong(ProxyProcess::cpuMillis).sum();
        cpuAt = events.millis();
        ended = ended();
        calls = rig.listCalls();
        rig.countPeak();
        near = figure("zones.near_total");
        placed = near + figure("zones.far_total") + figure("zones.shed_total");
    }

    private long sum(ToLongFunction<Clients> figure) {
        return rig.clients().stream().mapToLong(figure).sum();
    }

    private long ended() {
        return sum(
                clients ->
                        clients.served.sum()
                                + clients.refused.sum()
                                + clients.failed.sum()
                                + clients.lost.sum());
    }

    /** A figure over all that run. */
    private long figure(String name) {
        long sum = 0;
        for (ProxyProcess proxy : rig.running()) {
            try {
                sum += Math.max(0, proxy.figure(name));
            } catch (IOException e) {
                events.event("figure", proxy.name, name + " is not to be had: " + e.getMessage());
            }
        }
        return sum;
    }

    private void staff(Step step) throws IOException {
        String call =
                step.verb() == Step.Verb.DRAIN
                        ? "zone-drain " + step.words().get(0) + " " + step.words().get(1)
                        : "zone-restore " + step.words().get(0);
        String answer = rig.running().get(0).ask(call).strip();
        holds(step, answer.startsWith("200 "), answer, answer);
    }

    /**
     * The part of a zone's traffic that is served at home by the plan in force at a proxy, in
     * thousandths.
     */
    private static int homePart(ProxyProcess proxy, String zone) throws IOException {
        String row =
                proxy.ask("zones")
                        .lines()
                        .filter(line -> line.startsWith(zone + " -> "))
                        .findFirst()
                        .orElse(zone + " -> " + zone + " 1000");
        Matcher part = Pattern.compile("[>,] " + zone + " (\\d+)").matcher(row);
        return part.find() ? Integer.parseInt(part.group(1)) : 0;
    }

    private void zones(Step step) throws IOException, InterruptedException {
        String zone = step.words().isEmpty() ? "" : step.words().get(0);
        switch (step.verb()) {
            case ZONE_OUT, ZONE_HOME ->
                    until(
                            step,
                            step.millis(2),
                            () -> {
                                for (ProxyProcess proxy : rig.running()) {
                                    int part = homePart(proxy, zone);
                                    if (part != (step.verb() == Step.Verb.ZONE_OUT ? 0 : 1000)) {
                                        return "zone "
                                                + zone
                                                + " serves "
                                                + part
                                                + " of its own at "
                                                + proxy.name;
                                    }
                                }
                                return "";
                            },
                            "zone "
                                    + zone
                                    + (step.verb() == Step.Verb.ZONE_OUT
                                            ? " is out of use"
                                            : " serves its own"));
            case ZONES_SETTLED -> {
                Map<String, String> last = new HashMap<>();
                long[] since = {events.millis()};
                until(
                        step,
                        step.millis(1),
                        () -> {
                            Set<String> epochs = new TreeSet<>();
                            for (ProxyProcess proxy : rig.running()) {
                                epochs.add(
                                        proxy.ask("zones")
                                                .lines()
                                                .findFirst()
                                                .orElse("")
                                                .split(" by ")[0]);
                            }
                            if (!epochs.toString().equals(last.put("", epochs.toString()))) {
                                since[0] = events.millis();
                            }
                            return epochs.size() == 1 && events.millis() - since[0] >= QUIET_MILLIS
                                    ? ""
                                    : "epochs are " + epochs + " or new";
                        },
                        "one epoch, no step for " + QUIET_MILLIS / 1000 + " s");
            }
            case REVERSALS ->
                    holds(
                            step,
                            rig.reversals() <= step.number(1),
                            "at most " + rig.reversals() + " reversals of a zone",
                            rig.reversals() + " reversals of a zone");
            case NEAR -> {
                long nearNow = figure("zones.near_total") - near;
                long all =
                        Math.max(
                                1,
                                figure("zones.near_total")
                                        + figure("zones.far_total")
                                        + figure("zones.shed_total")
                                        - placed);
                String figures =
                        String.format(
                                Locale.ROOT,
                                "%.4f of %d ops placed near",
                                (double) nearNow / all,
                                all);
                holds(step, (double) nearNow / all >= step.part(1), figures, figures);
            }
            case ORIGIN_PEAK ->
                    holds(
                            step,
                            rig.originPeak() <= step.number(1),
                            rig.originPeak() + " fetches in the worst second",
                            rig.originPeak() + " fetches in the worst second");
            case ANSWERED_IN_TIME -> {
                long lost = sum(clients -> clients.lost.sum());
                double part = 1 - (double) lost / Math.max(1, ended());
                String figures =
                        String.format(Locale.ROOT, "%.4f of %d ops were answered", part, ended());
                holds(step, part >= step.part(1), figures, figures);
            }
            default ->
                    holds(
                            step,
                            rig.felled() == 0,
                            "no cold cache was pushed over",
                            rig.felled() + " times a cold cache was pushed over");
        }
    }

    private void look(Step step) throws IOException, InterruptedException {
        switch (step.verb()) {
            case AGREE -> {
                Set<String> names = new TreeSet<>();
                rig.running().forEach(proxy -> names.add(proxy.name));
                until(
                        step,
                        step.millis(1),
                        () -> disagreement(names),
                        "all " + names.size() + " agree");
            }
            case PARTS_AGREE ->
                    until(
                            step,
                            step.millis(1),
                            () -> {
                                for (Set<String> part : parts) {
                                    Set<String> names = new TreeSet<>();
                                    rig.running().stream()
                                            .filter(proxy -> part.contains(proxy.name))
                                            .forEach(proxy -> names.add(proxy.name));
                                    String wrong = disagreement(names);
                                    if (!wrong.isEmpty()) {
                                        return wrong;
                                    }
                                }
                                return "";
                            },
                            parts.size() + " parts agree, each");
            case NOBODY_FALSELY_DEAD ->
                    holds(
                            step,
                            rig.falseDeaths().isEmpty(),
                            "nobody that could be heard was held " + "dead",
                            String.join(", ", rig.falseDeaths()));
            case SAME_LIFE, NEW_LIFE -> {
                for (String name : members(step, 0)) {
                    boolean same =
                            agreed.get(name) != null
                                    && agreed.get(name).equals(agreedBefore.get(name));
                    holds(
                            step,
                            same == (step.verb() == Step.Verb.SAME_LIFE),
                            name + " has " + (same ? "the same life" : "a new life"),
                            name
                                    + " had life "
                                    + agreedBefore.get(name)
                                    + " and has "
                                    + agreed.get(name));
                }
            }
            case SERVED -> {
                long all = Math.max(1, ended() - ended);
                double part = (double) (sum(clients -> clients.served.sum()) - served) / all;
                String figures =
                        String.format(Locale.ROOT, "%.4f of %d ops were served", part, all);
                holds(step, part >= step.part(1), figures, figures);
            }
            case NO_EFFECT_TWICE ->
                    holds(
                            step,
                            rig.world().twice() == 0,
                            "no effect twice",
                            rig.world().twice() + " effects twice");
            case HINTED -> {
                String node = Long.toHexString(Fnv1a.hash(step.words().get(0)));
                until(
                        step,
                        step.millis(2),
                        () -> {
                            for (ProxyProcess proxy : rig.running()) {
                                if (!rig.hints().contains(proxy.name + " " + node)) {
                                    return proxy.name + " has no hint of " + step.words().get(0);
                                }
                            }
                            return "";
                        },
                        "all have the hint");
            }
            case COST -> {
                List<ProxyProcess> all = rig.running();
                double cores =
                        (double) (all.stream().mapToLong(ProxyProcess::cpuMillis).sum() - cpu)
                                / Math.max(1, events.millis() - cpuAt)
                                / all.size();
                double megabytes =
                        all.stream().mapToLong(ProxyProcess::residentKilobytes).sum()
                                / 1024.0
                                / all.size();
                String figures =
                        String.format(
                                Locale.ROOT,
                                "%.2f%% of a core and %.1f MB a process",
                                100 * cores,
                                megabytes);
                holds(step, cores <= step.part(1), figures, figures);
            }
            case SHARES ->
                    until(
                            step,
                            step.millis(2),
                            () -> {
                                for (ProxyProcess proxy : rig.running()) {
                                    long shares = proxy.figure("fleet.shares");
                                    if (shares != step.number(0)) {
                                        return proxy.name + " shares among " + shares;
                                    }
                                }
                                return "";
                            },
                            "all share among " + step.number(0));
            case PROBED -> probed(step);
            case ZONE_OUT,
                    ZONE_HOME,
                    ZONES_SETTLED,
                    REVERSALS,
                    NEAR,
                    ORIGIN_PEAK,
                    NONE_FELLED,
                    ANSWERED_IN_TIME ->
                    zones(step);
            case LIST_CALLS -> {
                long made = rig.listCalls() - calls;
                holds(
                        step,
                        made <= step.number(1),
                        made + " calls for lists",
                        made + " calls for lists");
            }
            default -> {
                long refused = 0;
                for (ProxyProcess proxy : rig.running()) {
                    refused +=
                            Math.max(
                                    0,
                                    proxy.figure(
                                            "fleet.refused." + step.words().get(0) + "_total"));
                }
                holds(
                        step,
                        refused > 0,
                        refused + " datagrams refused: " + step.words().get(0),
                        "none were refused");
            }
        }
    }

    /** The rate at which a node was probed, and the longest gap, over a span. */
    private void probed(Step step) throws InterruptedException {
        long until = events.millis() + step.millis(2);
        long last = rig.cache(step.words().get(0)).probes.sum();
        long first = last;
        long lastAt = events.millis();
        long gap = 0;
        while (events.millis() < until) {
            Thread.sleep(LOOK_MILLIS);
            long now = rig.cache(step.words().get(0)).probes.sum();
            if (now != last) {
                gap = Math.max(gap, events.millis() - lastAt);
                last = now;
                lastAt = events.millis();
            }
        }
        gap = Math.max(gap, events.millis() - lastAt);
        long most = 2 * step.millis(2) / 2000 + 2;
        String figures = last - first + " probes, longest gap " + gap + " ms";
        holds(step, gap <= 5_000 && last - first <= most, figures, figures);
    }

    void holds(Step step, boolean holds, String good, String bad) {
        if (holds) {
            says(step, good);
        } else {
            fails(step, bad);
        }
    }

    void until(Step step, long most, Looks looks, String good)
            throws IOException, InterruptedException {
        long from = events.millis();
        String wrong = "nothing was seen";
        while (true) {
            try {
                wrong = looks.wrong();
            } catch (IOException e) {
                wrong = e.getMessage();
            } catch (Hopeless e) {
                fails(step, e.getMessage());
                return;
            }
            long took = events.millis() - from;
            if (wrong.isEmpty()) {
                says(step, good + " after " + took + " ms");
                return;
            }
            if (took > patience * most) {
                fails(step, wrong + " after " + took + " ms");
                return;
            }
            Thread.sleep(LOOK_MILLIS);
        }
    }

    /** Empty where each of these holds exactly these alive, in the same lives. */
    private String disagreement(Set<String> names) throws IOException {
        Map<String, Long> common = null;
        for (String name : names) {
            JsonNode view = rig.proxy(name).members();
            Map<String, Long> alive = new TreeMap<>();
            for (JsonNode member : view.path("members")) {
                String standing = member.path("standing").asText();
                if (standing.equals("suspect")) {
                    return name + " suspects " + member.path("id").asText();
                }
                if (standing.equals("alive")) {
                    alive.put(member.path("id").asText(), member.path("life").asLong());
                }
            }
            if (!alive.keySet().equals(names)) {
                Set<String> missing = new TreeSet<>(names);
                missing.removeAll(alive.keySet());
                alive.keySet().removeAll(names);
                return name + " misses " + missing + " and has " + alive.keySet() + " too many";
            }
            if (common != null && !common.equals(alive)) {
                return name + " holds other lives than another";
            }
            common = alive;
        }
        if (common != null) {
            common.forEach((name, life) -> agreedBefore.put(name, agreed.put(name, life)));
        }
        return "";
    }
}

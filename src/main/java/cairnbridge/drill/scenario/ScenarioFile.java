package cairnbridge.drill.scenario;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads a scenario: a line a step, words apart by spaces, what follows # left out; the first remark
 * is the title. Lines that describe the fleet come before the first step. docs/operators/fleet.md
 * lists the words.
 */
public final class ScenarioFile {
    private static final Pattern SPAN = Pattern.compile("([0-9]{1,6})(ms|s)");
    private static final Pattern PART = Pattern.compile("([0-9]{1,3}(?:\\.[0-9]+)?)%");
    private static final Pattern RANGE =
            Pattern.compile(
                    "([a-z]+)([0-9]{1,4})\\.\\.\\1([0-9]{1,4})" + "(?:/([1-9][0-9]{0,2}))?");
    private static final Pattern NAME = Pattern.compile("[a-z]+[0-9]{0,4}");
    private static final int MOST_MEMBERS = 200;
    private static final int MOST_CACHES = 64;
    private static final int MOST_LOAD = 5_000;
    private String title = "";
    private int members;
    private int caches;
    private int load;
    private long seed = 1;
    private boolean together = true;
    private List<String> seeds = List.of("p1");
    private List<String> zones = List.of("a");
    private final Map<String, String> keys = new LinkedHashMap<>();
    private final List<Step> steps = new ArrayList<>();

    private ScenarioFile() {}

    /** ScenarioFault names the line that cannot be used. */
    public static Scenario read(String text) {
        ScenarioFile file = new ScenarioFile();
        String[] lines = text.split("\n", -1);
        for (int i = 0; i < lines.length; i++) {
            file.line(i + 1, lines[i].strip());
        }
        if (file.members == 0) {
            throw new ScenarioFault(lines.length, "no line says how large the fleet is");
        }
        if (file.steps.isEmpty()) {
            throw new ScenarioFault(lines.length, "there is no step");
        }
        file.check();
        return new Scenario(
                file.title,
                file.members,
                file.seeds,
                file.zones,
                file.caches,
                file.load,
                file.seed,
                file.together,
                Map.copyOf(file.keys),
                List.copyOf(file.steps),
                1);
    }

    private void line(int number, String whole) {
        if (whole.startsWith("#") && title.isEmpty()) {
            title = whole.substring(1).strip();
        }
        int remark = whole.indexOf('#');
        String line = (remark < 0 ? whole : whole.substring(0, remark)).strip();
        if (line.isEmpty()) {
            return;
        }
        List<String> words = Arrays.asList(line.split("\\s+"));
        if (!describes(number, words.get(0), words.subList(1, words.size()))) {
            step(number, words);
        } else if (!steps.isEmpty()) {
            throw new ScenarioFault(number, words.get(0) + " comes before the first step");
        }
    }

    private boolean describes(int line, String word, List<String> rest) {
        if (!List.of("fleet", "caches", "clients", "random", "seeds", "zones", "set", "alone")
                .contains(word)) {
            return false;
        }
        if (word.equals("alone") != rest.isEmpty()) {
            throw new ScenarioFault(
                    line, word + (rest.isEmpty() ? " needs a word" : " takes no word"));
        }
        switch (word) {
            case "fleet" -> members = within(line, rest.get(0), 1, MOST_MEMBERS);
            case "caches" -> caches = within(line, rest.get(0), 0, MOST_CACHES);
            case "clients" -> load = within(line, rest.get(0), 0, MOST_LOAD);
            case "random" -> seed = number(line, rest.get(0));
            case "seeds" -> seeds = rest;
            case "zones" -> zones = rest;
            case "set" -> {
                if (rest.size() != 2) {
                    throw new ScenarioFault(line, "set needs a key and a value");
                }
                keys.put(rest.get(0), rest.get(1));
            }
            default -> together = false;
        }
        return true;
    }

    private void step(int line, List<String> words) {
        String word = words.get(0);
        Step.Verb verb =
                Arrays.stream(Step.Verb.values())
                        .filter(each -> each.word().equals(word))
                        .findFirst()
                        .orElseThrow(() -> new ScenarioFault(line, "there is no step " + word));
        List<String> rest = List.copyOf(words.subList(1, words.size()));
        if (rest.size() < verb.least || rest.size() > verb.most) {
            throw new ScenarioFault(
                    line,
                    word
                            + " takes "
                            + verb.least
                            + (verb.most > verb.least
                                    ? " words or more"
                                    : verb.least == 1 ? " word" : " words"));
        }
        steps.add(new Step(line, verb, rest));
    }

    /**
     * Every word is read once before anything starts: guards against a drill that ends at a slip
     * near its end.
     */
    private void check() {
        seeds.forEach(name -> member(0, name));
        for (Step step : steps) {
            switch (step.verb()) {
                case START,
                        KILL,
                        STOP,
                        FREEZE,
                        THAW,
                        SAME_LIFE,
                        NEW_LIFE,
                        DISK_FULL,
                        DISK_WELL,
                        DISK_STALLS,
                        SNAPSHOT_TORN,
                        SAID ->
                        members(step, 0);
                case LIFE, PROTOCOL -> {
                    members(step, 0);
                    step.number(1);
                }
                case WAIT, DELAY, ORIGIN_SLOW -> step.millis(0);
                case LOSS, DOUBLE, REORDER -> step.part(0);
                case CUT -> {
                    for (String part : String.join("", step.words()).split("\\|")) {
                        names(step.line(), part).forEach(name -> any(step.line(), name));
                    }
                }
                case ONE_WAY -> {
                    any(step.line(), step.words().get(0));
                    any(step.line(), step.words().get(1));
                }
                case AGREE, PARTS_AGREE -> within(step, 0);
                case SERVED -> {
                    word(step, 0, "at-least");
                    step.part(1);
                }
                case HINTED -> {
                    any(step.line(), step.words().get(0));
                    within(step, 1);
                }
                case SHARES -> {
                    step.number(0);
                    within(step, 1);
                }
                case PROBED -> {
                    any(step.line(), step.words().get(0));
                    word(step, 1, "for");
                    step.millis(2);
                }
                case CACHE_KILL, CACHE_START, POWER_LOSS, HOLD, FREE, UNTOUCHED ->
                        step.names(0).forEach(name -> any(step.line(), name));
                case ZONE_LOAD -> {
                    zone(step);
                    step.number(1);
                }
                case DRAIN -> {
                    zone(step);
                    step.number(1);
                }
                case RESTORE -> zone(step);
                case ZONE_OUT, ZONE_HOME -> {
                    zone(step);
                    within(step, 1);
                }
                case ZONES_SETTLED -> within(step, 0);
                case REVERSALS, ORIGIN_PEAK, ORIGIN_TURNED_AWAY -> {
                    word(step, 0, "at-most");
                    step.number(1);
                }
                case COST -> {
                    word(step, 0, "at-most");
                    step.part(1);
                }
                case NEAR, ANSWERED_IN_TIME -> {
                    word(step, 0, "at-least");
                    step.part(1);
                }
                case CACHE_SLOW -> {
                    any(step.line(), step.words().get(0));
                    step.millis(1);
                }
                case CACHE_FAILS, CACHE_GREY -> {
                    step.names(0).forEach(name -> any(step.line(), name));
                    word(step, 1, "yes", "no");
                }
                case DISCOVERY -> {
                    word(step, 0, "down", "up");
                    if (step.words().size() > 1) {
                        members(step, 1);
                    }
                }
                case CACHE_LISTED -> {
                    step.names(0).forEach(name -> any(step.line(), name));
                    word(step, 1, "Ready", "Terminating", "Gone");
                }
                case LOAD, LIST_BACK, ORIGIN_PLACES -> step.number(0);
                case EARLIER -> step.millis(0);
                case START_OVER, SNAPSHOT_OLDER, SNAPSHOT_AHEAD -> {
                    members(step, 0);
                    step.millis(1);
                }
                case SERVING, CONFIRMED, RECOVERED -> {
                    members(step, 0);
                    within(step, 1);
                }
                case SERVICE_BACK -> {
                    step.part(0);
                    within(step, 1);
                }
                case TOUCHED -> {
                    any(step.line(), step.words().get(0));
                    within(step, 1);
                }
                case NOTHING_BACK -> within(step, 0);
                case LIST_CALLS -> {
                    word(step, 0, "at-most");
                    step.number(1);
                }
                default -> {}
            }
        }
    }

    private void zone(Step step) {
        if (!zones.contains(step.words().get(0))) {
            throw new ScenarioFault(step.line(), "there is no zone " + step.words().get(0));
        }
    }

    private void members(Step step, int at) {
        step.names(at).forEach(name -> member(step.line(), name));
    }

    private void member(int line, String name) {
        if (!name.equals("all") && !name.matches("p[0-9]{1,4}")
                || name.startsWith("p") && Integer.parseInt(name.substring(1)) > members) {
            throw new ScenarioFault(line, "there is no member " + name);
        }
    }

    private void any(int line, String name) {
        boolean cache =
                name.matches("c[0-9]{1,4}") && Integer.parseInt(name.substring(1)) <= caches;
        if (!cache && !name.equals("rest")) {
            member(line, name);
        }
    }

    private static void within(Step step, int at) {
        word(step, at, "within");
        step.millis(at + 1);
    }

    private static void word(Step step, int at, String... expected) {
        if (!List.of(expected).contains(step.words().get(at))) {
            throw new ScenarioFault(
                    step.line(),
                    "expected " + String.join(" or ", expected) + ", not " + step.words().get(at));
        }
    }

    static long millis(int line, String word) {
        Matcher span = SPAN.matcher(word);
        if (!span.matches()) {
            throw new ScenarioFault(line, word + " is no span such as 5s or 200ms");
        }
        return Long.parseLong(span.group(1)) * (span.group(2).equals("s") ? 1000 : 1);
    }

    static double part(int line, String word) {
        Matcher part = PART.matcher(word);
        if (!part.matches() || Double.parseDouble(part.group(1)) > 100) {
            throw new ScenarioFault(line, word + " is no part such as 30%");
        }
        return Double.parseDouble(part.group(1)) / 100;
    }

    static int number(int line, String word) {
        if (!word.matches("[0-9]{1,9}")) {
            throw new ScenarioFault(line, word + " is no number");
        }
        return Integer.parseInt(word);
    }

    private static int within(int line, String word, int least, int most) {
        int number = number(line, word);
        if (number < least || number > most) {
            throw new ScenarioFault(line, word + " is not from " + least + " to " + most);
        }
        return number;
    }

    static List<String> names(int line, String words) {
        List<String> names = new ArrayList<>();
        for (String word : words.split(",")) {
            Matcher range = RANGE.matcher(word);
            if (range.matches()) {
                int from = Integer.parseInt(range.group(2));
                int to = Integer.parseInt(range.group(3));
                if (from > to) {
                    throw new ScenarioFault(line, word + " goes backwards");
                }
                int every = range.group(4) == null ? 1 : Integer.parseInt(range.group(4));
                for (int i = from; i <= to; i += every) {
                    names.add(range.group(1) + i);
                }
            } else if (NAME.matcher(word).matches()) {
                names.add(word);
            } else {
                throw new ScenarioFault(line, "'" + word + "' is no name");
            }
        }
        return names;
    }
}

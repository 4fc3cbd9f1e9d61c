package cairnbridge.lab.hunt;

import cairnbridge.drill.scenario.Scenario;
import cairnbridge.drill.scenario.ScenarioFile;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * A day on which things go wrong: how large the fleet is, and what is done to it when. Never
 * changed; another is made of it.
 *
 * @param load ops a second
 */
record BadDay(int members, int caches, int load, List<Fault> faults) {
    private static final long WARM_MILLIS = 10_000;
    private static final long AFTER_MILLIS = 5_000;

    /**
     * What is done at a time and undone after a span, in milliseconds from when the fleet is warm.
     */
    record Fault(long at, long span, String begin, String end) {}

    BadDay {
        faults = faults.stream().sorted(Comparator.comparingLong(Fault::at)).toList();
    }

    BadDay with(List<Fault> others) {
        return new BadDay(members, caches, load, others);
    }

    /** As a scenario is written; the title says what came of it. */
    String text(String title) {
        StringBuilder text = new StringBuilder();
        text.append("# ").append(title).append('\n');
        text.append(
                String.format(
                        Locale.ROOT,
                        "fleet %d%nalone%ncaches %d%nclients %d%nstart all%nwait %dms%ncount%n",
                        members,
                        caches,
                        load,
                        WARM_MILLIS));
        Map<Long, List<String>> steps = new TreeMap<>();
        for (Fault each : faults) {
            steps.computeIfAbsent(each.at(), at -> new ArrayList<>()).add(each.begin());
            steps.computeIfAbsent(each.at() + each.span(), at -> new ArrayList<>()).add(each.end());
        }
        long now = 0;
        for (Map.Entry<Long, List<String>> each : steps.entrySet()) {
            if (each.getKey() > now) {
                text.append("wait ").append(each.getKey() - now).append("ms\n");
                now = each.getKey();
            }
            for (String step : each.getValue()) {
                text.append(step).append('\n');
                now +=
                        step.startsWith("start ")
                                ? 1_000
                                : 0; // Who is started takes clients a second later.
            }
        }
        return text.append("wait ").append(AFTER_MILLIS).append("ms\nno-effect-twice\n").toString();
    }

    Scenario scenario() {
        return ScenarioFile.read(text("found by a hunt"));
    }
}

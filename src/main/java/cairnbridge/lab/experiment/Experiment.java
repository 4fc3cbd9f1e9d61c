package cairnbridge.lab.experiment;

import cairnbridge.drill.scenario.Scenario;
import cairnbridge.lab.policy.Policy;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What is to be run and compared.
 *
 * @param scenarios by name, in order
 * @param sizes by how many times proxies, caches and load are multiplied
 * @param seeds of each combination, at least two
 */
public record Experiment(
        String title,
        Map<String, Scenario> scenarios,
        List<Integer> sizes,
        List<Policy.Kind> policies,
        List<Long> seeds) {
    /** One run of many; its key names it in results. */
    public record Trial(String scenario, int size, Policy.Kind policy, long seed) {
        private static final Pattern KEY =
                Pattern.compile("(.+) x([0-9]{1,6}) ([a-z]+) (-?[0-9]{1,18})");

        /** The name of the trial in results. */
        public String key() {
            return scenario + " x" + size + " " + policy.word() + " " + seed;
        }

        /** The run that a key names; empty where it is no key of any. */
        public static Optional<Trial> of(String key) {
            Matcher parts = KEY.matcher(key);
            return parts.matches()
                    ? Arrays.stream(Policy.Kind.values())
                            .filter(kind -> kind.word().equals(parts.group(3)))
                            .findFirst()
                            .map(
                                    kind ->
                                            new Trial(
                                                    parts.group(1),
                                                    Integer.parseInt(parts.group(2)),
                                                    kind,
                                                    Long.parseLong(parts.group(4))))
                    : Optional.empty();
        }
    }

    /** All runs in the order in which results are written. */
    public List<Trial> trials() {
        List<Trial> trials = new ArrayList<>();
        for (String scenario : scenarios.keySet()) {
            for (int size : sizes) {
                for (Policy.Kind policy : policies) {
                    seeds.forEach(seed -> trials.add(new Trial(scenario, size, policy, seed)));
                }
            }
        }
        return trials;
    }

    /** The trial's scenario at its size. */
    public Scenario scenario(Trial trial) {
        return scenarios.get(trial.scenario()).times(trial.size());
    }
}

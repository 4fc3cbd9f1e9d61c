package cairnbridge.lab.experiment;

import cairnbridge.drill.scenario.Scenario;
import cairnbridge.lab.policy.Policy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * What is to be run and compared.
 *
 * @param scenarios by name, in order
 * @param sizes by how many times proxies, caches and load are multiplied
 * @param seeds of each combination, at least two
 */
public record Experiment(String title, Map<String, Scenario> scenarios, List<Integer> sizes,
                         List<Policy.Kind> policies, List<Long> seeds) {
    /** One run of many; its key names it in results. */
    public record Trial(String scenario, int size, Policy.Kind policy, long seed) {
        public String key() {
            return scenario + " x" + size + " " + policy.word() + " " + seed;
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

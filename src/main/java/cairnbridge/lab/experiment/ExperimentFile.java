package cairnbridge.lab.experiment;

import cairnbridge.config.ConfigurationException;
import cairnbridge.config.TomlFile;
import cairnbridge.drill.scenario.Scenario;
import cairnbridge.drill.scenario.ScenarioFault;
import cairnbridge.drill.scenario.ScenarioFile;
import cairnbridge.lab.policy.Policy;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reads an experiment, TOML; every fault is a ConfigFault that begins with its key. */
public final class ExperimentFile {
    private static final Set<String> KEYS =
            Set.of("title", "scenarios", "sizes", "policies", "seeds");
    private static final int MOST_SEEDS = 1_000;
    private static final int LARGEST = 1_000;
    private static final int SEEDS = 5;

    private ExperimentFile() {}

    /** Scenarios are looked for beside the file. */
    public static Experiment read(Path file) {
        try {
            return of(Files.readString(file), file.toAbsolutePath().getParent());
        } catch (IOException e) {
            throw new ConfigurationException(file.toString(), "cannot be read");
        }
    }

    static Experiment of(String text, Path folder) {
        JsonNode root = TomlFile.parse(text, "experiment");
        root.fieldNames()
                .forEachRemaining(
                        key -> {
                            if (!KEYS.contains(key)) {
                                throw new ConfigurationException(
                                        "experiment." + key, "is no key of an experiment");
                            }
                        });
        List<Long> seeds = new ArrayList<>();
        int many = number(root, "seeds", SEEDS, 2, MOST_SEEDS);
        for (long seed = 1; seed <= many; seed++) {
            seeds.add(seed);
        }
        return new Experiment(
                root.path("title").asText(""),
                scenarios(root, folder),
                sizes(root),
                policies(root),
                seeds);
    }

    private static int number(JsonNode root, String key, int absent, int least, int most) {
        JsonNode value = root.path(key);
        if (value.isMissingNode()) {
            return absent;
        }
        return within(key, value, least, most);
    }

    private static int within(String key, JsonNode value, int least, int most) {
        if (!value.isInt() || value.asInt() < least || value.asInt() > most) {
            throw new ConfigurationException(
                    "experiment." + key, "is not a whole number from " + least + " to " + most);
        }
        return value.asInt();
    }

    private static JsonNode list(JsonNode root, String key) {
        JsonNode list = root.path(key);
        if (!list.isArray() || list.isEmpty()) {
            throw new ConfigurationException("experiment." + key, "is not a list of at least one");
        }
        return list;
    }

    private static Map<String, Scenario> scenarios(JsonNode root, Path folder) {
        Map<String, Scenario> scenarios = new LinkedHashMap<>();
        for (JsonNode each : list(root, "scenarios")) {
            try {
                Path file = folder.resolve(each.asText());
                scenarios.put(
                        file.getFileName().toString().replace(".drill", ""),
                        ScenarioFile.read(Files.readString(file)));
            } catch (IOException | InvalidPathException e) {
                throw new ConfigurationException(
                        "experiment.scenarios", "cannot be read: " + each.asText());
            } catch (ScenarioFault e) {
                throw new ConfigurationException(
                        "experiment.scenarios", each.asText() + " " + e.getMessage());
            }
        }
        return scenarios;
    }

    private static List<Integer> sizes(JsonNode root) {
        if (root.path("sizes").isMissingNode()) {
            return List.of(1);
        }
        List<Integer> sizes = new ArrayList<>();
        list(root, "sizes").forEach(each -> sizes.add(within("sizes", each, 1, LARGEST)));
        return sizes;
    }

    private static List<Policy.Kind> policies(JsonNode root) {
        if (root.path("policies").isMissingNode()) {
            return List.of(Policy.Kind.values());
        }
        List<Policy.Kind> policies = new ArrayList<>();
        for (JsonNode each : list(root, "policies")) {
            policies.add(
                    Arrays.stream(Policy.Kind.values())
                            .filter(kind -> kind.word().equals(each.asText()))
                            .findFirst()
                            .orElseThrow(
                                    () ->
                                            new ConfigurationException(
                                                    "experiment.policies",
                                                    "there is no policy " + each.asText())));
        }
        return policies;
    }
}

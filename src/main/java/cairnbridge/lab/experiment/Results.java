package cairnbridge.lab.experiment;

import cairnbridge.config.ConfigurationException;
import cairnbridge.drill.scenario.ScenarioFault;
import cairnbridge.lab.run.Emulation;
import cairnbridge.lab.run.Outcome;
import cairnbridge.lab.run.RunRecord;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.BiConsumer;

/**
 * Runs an experiment's trials side by side and writes their results as lines of JSON, in the order
 * of the trials whatever the order in which they end: the file is the same on one thread and on
 * many. Lines that are there already are not run again, so that one that was killed goes on where
 * it was.
 */
public final class Results {
    private static final ObjectMapper JSON = new ObjectMapper();

    private Results() {}

    /** One line of results. */
    public record Line(Experiment.Trial trial, JsonNode sums) {}

    /** progress is told how many of how many are done. */
    public static List<Line> run(
            Experiment experiment,
            Path file,
            String commit,
            int threads,
            BiConsumer<Integer, Integer> progress)
            throws IOException, InterruptedException {
        List<Experiment.Trial> trials = experiment.trials();
        List<Line> lines = read(file, trials, commit);
        ExecutorService pool =
                Executors.newFixedThreadPool(
                        threads,
                        task -> {
                            Thread thread = new Thread(task, "trial");
                            thread.setDaemon(true);
                            return thread;
                        });
        try (Writer out =
                Files.newBufferedWriter(
                        file, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
            List<Future<ObjectNode>> left = new ArrayList<>();
            for (Experiment.Trial trial : trials.subList(lines.size(), trials.size())) {
                left.add(pool.submit(() -> sums(experiment, trial)));
            }
            progress.accept(lines.size(), trials.size());
            for (Future<ObjectNode> each : left) {
                Experiment.Trial trial = trials.get(lines.size());
                ObjectNode sums = each.get();
                ObjectNode line =
                        JSON.createObjectNode().put("key", trial.key()).put("commit", commit);
                line.set("sums", sums);
                out.write(RunRecord.line(line) + "\n");
                out.flush();
                lines.add(new Line(trial, sums));
                progress.accept(lines.size(), trials.size());
            }
        } catch (ExecutionException e) {
            if (e.getCause() instanceof ScenarioFault fault) {
                throw new ConfigurationException("experiment.scenarios", fault.getMessage());
            }
            if (e.getCause() instanceof ConfigurationException fault) {
                throw fault;
            }
            throw new IllegalStateException(e.getCause());
        } finally {
            pool.shutdownNow();
        }
        return lines;
    }

    private static ObjectNode sums(Experiment experiment, Experiment.Trial trial) {
        Outcome outcome =
                new Emulation(experiment.scenario(trial), trial.policy(), trial.seed()).run();
        return RunRecord.sums(outcome);
    }

    /**
     * What an earlier run of the same experiment and commit has left; a half written line is cut
     * off.
     */
    private static List<Line> read(Path file, List<Experiment.Trial> trials, String commit)
            throws IOException {
        List<Line> lines = new ArrayList<>();
        if (!Files.exists(file)) {
            return lines;
        }
        List<String> kept = new ArrayList<>();
        for (String text : Files.readAllLines(file)) {
            try {
                JsonNode node = JSON.readTree(text);
                boolean same =
                        lines.size() < trials.size()
                                && node.path("commit").asText().equals(commit)
                                && node.path("key").asText().equals(trials.get(lines.size()).key());
                if (!same) {
                    throw new ConfigurationException("--out", "holds other results: " + file);
                }
                lines.add(new Line(trials.get(lines.size()), node.path("sums")));
                kept.add(text);
            } catch (JsonProcessingException e) {
                break; // It was killed while it wrote this one.
            }
        }
        Files.write(file, kept);
        return lines;
    }
}

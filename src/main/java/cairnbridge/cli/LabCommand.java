package cairnbridge.cli;

import cairnbridge.config.ConfigFault;
import cairnbridge.drill.scenario.Scenario;
import cairnbridge.drill.scenario.ScenarioFault;
import cairnbridge.lab.experiment.Comparison;
import cairnbridge.lab.experiment.Experiment;
import cairnbridge.lab.experiment.ExperimentFile;
import cairnbridge.lab.experiment.Results;
import cairnbridge.lab.hunt.Hunt;
import cairnbridge.lab.policy.Policy;
import cairnbridge.lab.report.Report;
import cairnbridge.lab.run.Emulation;
import cairnbridge.lab.run.Outcome;
import cairnbridge.lab.run.RunRecord;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import me.tongfei.progressbar.ProgressBar;
import me.tongfei.progressbar.ProgressBarBuilder;
import me.tongfei.progressbar.ProgressBarStyle;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The fleet on models, at sizes that sockets do not reach. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        description = "Plays scenarios on models, in simulated time, with the real decision code.",
        subcommands = {
            LabCommand.RunCommand.class,
            LabCommand.ExperimentCommand.class,
            LabCommand.HuntCommand.class,
            LabCommand.ReportCommand.class,
            LabCommand.ListCommand.class
        })
final class LabCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
    }

    private static Path path(String text) {
        try {
            return Path.of(text);
        } catch (InvalidPathException e) {
            throw new ConfigFault(text, "is no path");
        }
    }

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Plays one scenario.",
            footer = "Example: lab run drills/compare-ring.drill --policy two --seed 3")
    static final class RunCommand implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Parameters(paramLabel = "FILE", description = "A scenario, as in drills/.")
        private String file;

        @Option(
                names = "--policy",
                defaultValue = "router",
                description = "router, random, two, ring or bounded: ${DEFAULT-VALUE}.")
        private String policy;

        @Option(
                names = "--seed",
                defaultValue = "1",
                description = "Of all chance: ${DEFAULT-VALUE}.")
        private long seed;

        @Option(
                names = "--size",
                defaultValue = "1",
                description = "Members, caches and load so many times: ${DEFAULT-VALUE}.")
        private int size;

        @Option(
                names = "--out",
                paramLabel = "FILE",
                description = "Where the record goes, lines of JSON.")
        private String out;

        @Override
        public Integer call() throws IOException {
            Policy.Kind kind =
                    Arrays.stream(Policy.Kind.values())
                            .filter(each -> each.word().equals(policy))
                            .findFirst()
                            .orElseThrow(
                                    () ->
                                            new ConfigFault(
                                                    "--policy", "there is no policy " + policy));
            if (size < 1) {
                throw new ConfigFault("--size", "is under 1");
            }
            long from = System.nanoTime();
            Outcome outcome;
            try {
                outcome = new Emulation(DrillCommand.read(file).times(size), kind, seed).run();
            } catch (ScenarioFault e) {
                throw new ConfigFault(file, e.getMessage());
            }
            for (Outcome.Check check : outcome.checks()) {
                say(
                        "line "
                                + check.line()
                                + " "
                                + check.step()
                                + ": "
                                + (check.held() ? "" : "DOES NOT HOLD, ")
                                + check.figures());
            }
            outcome.crashes().forEach((name, why) -> say(name + " has crashed: " + why));
            say(
                    String.format(
                            Locale.ROOT,
                            "%.4f of %d ops served, median %.1f ms, 99%% within %.1f ms; origin "
                                    + "fetches %d; %.1f s simulated in %.1f s, %d events",
                            outcome.service(),
                            outcome.asked(),
                            outcome.medianSpan(),
                            outcome.span99(),
                            outcome.fetches(),
                            outcome.simulatedMillis() / 1e3,
                            (System.nanoTime() - from) / 1e9,
                            outcome.events()));
            if (out != null) {
                Files.writeString(path(out), RunRecord.lines(outcome));
            }
            return outcome.held() ? 0 : 1;
        }

        private void say(String line) {
            spec.commandLine().getOut().println(line);
        }
    }

    @Command(
            name = "experiment",
            mixinStandardHelpOptions = true,
            description = "Runs what a file names, side by side, and compares.",
            footer = "Example: lab experiment lab/policies.toml --out target/policies.jsonl")
    static final class ExperimentCommand implements Callable<Integer> {
        private static final int BAR_MILLIS = 500;
        @Spec private CommandSpec spec;

        @Parameters(paramLabel = "FILE", description = "An experiment, TOML.")
        private String file;

        @Option(
                names = "--out",
                required = true,
                paramLabel = "FILE",
                description = "Results, lines of JSON; what is there already is not run again.")
        private String out;

        @Option(names = "--commit", defaultValue = "unknown", description = "Noted in the results.")
        private String commit;

        @Option(names = "--threads", defaultValue = "0", description = "All cores, if not given.")
        private int threads;

        @Override
        public Integer call() throws IOException, InterruptedException {
            Experiment experiment = ExperimentFile.read(path(file));
            int many = threads > 0 ? threads : Runtime.getRuntime().availableProcessors();
            List<Results.Line> lines;
            try (ProgressBar bar =
                    new ProgressBarBuilder()
                            .setTaskName("runs")
                            .setInitialMax(1)
                            .setStyle(ProgressBarStyle.ASCII)
                            .setUpdateIntervalMillis(BAR_MILLIS)
                            .build()) {
                lines =
                        Results.run(
                                experiment,
                                path(out),
                                commit,
                                many,
                                (done, all) -> {
                                    bar.maxHint(all);
                                    bar.stepTo(done);
                                });
            }
            spec.commandLine().getOut().print(Comparison.table(experiment, lines));
            spec.commandLine().getOut().flush();
            return 0;
        }
    }

    @Command(
            name = "hunt",
            mixinStandardHelpOptions = true,
            description =
                    "Looks for days on which the program's policy does worse than a simple one.",
            footer = "Example: lab hunt --rounds 10 --out lab/found-1.drill")
    static final class HuntCommand implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Option(
                names = "--rounds",
                defaultValue = "10",
                description = "${DEFAULT-VALUE}, if not given.")
        private int rounds;

        @Option(
                names = "--days",
                defaultValue = "32",
                description = "In each round: ${DEFAULT-VALUE}.")
        private int days;

        @Option(
                names = "--seed",
                defaultValue = "1",
                description = "Of all chance: ${DEFAULT-VALUE}.")
        private long seed;

        @Option(
                names = "--out",
                paramLabel = "FILE",
                description = "Where the scenario goes that was found.")
        private String out;

        @Override
        public Integer call() throws IOException {
            if (rounds < 1 || days < 1) {
                throw new ConfigFault(rounds < 1 ? "--rounds" : "--days", "is under 1");
            }
            Hunt.Found found = new Hunt(seed, this::say).run(rounds, days);
            say(found.text());
            if (out != null) {
                Files.writeString(path(out), found.text());
            }
            return 0;
        }

        private void say(String line) {
            spec.commandLine().getOut().println(line);
            spec.commandLine().getOut().flush();
        }
    }

    @Command(
            name = "report",
            mixinStandardHelpOptions = true,
            description = "Makes one page with plots of what runs and experiments wrote.",
            footer =
                    "Example: lab report target/run.jsonl target/policies.jsonl --out"
                            + " target/report.html")
    static final class ReportCommand implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Parameters(
                arity = "1..*",
                paramLabel = "FILE",
                description = "Records of `lab run --out` and results of `lab experiment --out`.")
        private List<String> files;

        @Option(
                names = "--out",
                required = true,
                paramLabel = "FILE",
                description = "Where the page goes, HTML.")
        private String out;

        @Option(
                names = "--png",
                paramLabel = "FOLDER",
                description = "Where each plot goes as a picture.")
        private String png;

        @Option(
                names = "--title",
                defaultValue = "The laboratory",
                description = "${DEFAULT-VALUE}.")
        private String title;

        @Override
        public Integer call() throws IOException {
            System.setProperty("java.awt.headless", "true");
            List<String> plots =
                    Report.write(
                            title,
                            files.stream().map(LabCommand::path).toList(),
                            path(out),
                            Optional.ofNullable(png).map(LabCommand::path));
            spec.commandLine().getOut().println(plots.size() + " plots in " + out);
            return 0;
        }
    }

    @Command(
            name = "list",
            mixinStandardHelpOptions = true,
            description =
                    "Says which scenarios of a folder can be played on models, and why others"
                            + " cannot.",
            footer = "Example: lab list drills")
    static final class ListCommand implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Parameters(paramLabel = "FOLDER", description = "Where scenarios are.")
        private String folder;

        @Override
        public Integer call() throws IOException {
            List<Path> files = new ArrayList<>();
            try (Stream<Path> all = Files.list(path(folder))) {
                all.filter(each -> each.toString().endsWith(".drill")).sorted().forEach(files::add);
            }
            for (Path file : files) {
                Scenario scenario = DrillCommand.read(file.toString());
                String name = file.getFileName().toString().replace(".drill", "");
                String what;
                try {
                    new Emulation(scenario, Policy.Kind.ROUTER, 1);
                    what = scenario.title();
                } catch (ScenarioFault | ConfigFault e) {
                    what = "- " + e.getMessage();
                }
                spec.commandLine().getOut().printf("%-24s %s%n", name, what);
            }
            return 0;
        }
    }
}

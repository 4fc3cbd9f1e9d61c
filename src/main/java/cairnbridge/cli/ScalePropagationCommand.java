package cairnbridge.cli;

import cairnbridge.config.ConfigurationException;
import cairnbridge.propagation.PropagationSettings;
import cairnbridge.propagation.simulated.FleetLayout;
import cairnbridge.propagation.simulated.PropagationRuns;
import cairnbridge.propagation.simulated.PropagationRuns.Delays;
import cairnbridge.propagation.simulated.PropagationRuns.Plan;
import cairnbridge.propagation.simulated.PropagationRuns.Result;
import cairnbridge.propagation.simulated.PropagationRuns.Traffic;
import cairnbridge.scale.MeasurementContext;
import cairnbridge.scale.MeasurementWriter;
import cairnbridge.time.Ticks;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures how changes propagate over relays on a simulated network. */
@Command(
        name = "propagation",
        mixinStandardHelpOptions = true,
        description =
                "Measures on a simulated network how fast changes take effect at all members, and"
                        + " at what cost; times are simulated.")
final class ScalePropagationCommand implements Callable<Integer> {
    private static final int MIN_MEMBERS = 20;
    private static final int MAX_MEMBERS = 20_000;
    private static final int CONFIGURATION_BYTES = 600;
    private static final int PURGE_BYTES = 60;
    private static final int PURGES_PER_SECOND = 16;
    private static final long CONFIGURATION_INTERVAL = 5 * Ticks.SECOND;

    @Option(
            names = "--members",
            defaultValue = "1800",
            description = "Size of the fleet: ${DEFAULT-VALUE}.")
    private int members;

    @Option(
            names = "--changes",
            defaultValue = "100",
            description = "Configurations published, one every 5 s: ${DEFAULT-VALUE}.")
    private int changes;

    @Option(
            names = "--purge-seconds",
            defaultValue = "0",
            description = "Publishes 16 purges per second for this many seconds instead.")
    private int purgeSeconds;

    @Option(
            names = "--loss",
            defaultValue = "0",
            description = "Fraction of messages lost, from 0 to 1.")
    private double loss;

    @Option(
            names = "--kill-relay",
            description = "Kills a relay during each change; the relay restarts after 15 s.")
    private boolean killRelay;

    @Option(
            names = "--direct",
            description = "Without relays: members subscribe directly to control servers.")
    private boolean direct;

    @Option(names = "--seed", defaultValue = "1", description = "Random seed.")
    private long seed;

    @Override
    public Integer call() throws IOException {
        requireInRange(members >= MIN_MEMBERS && members <= MAX_MEMBERS, "--members");
        requireInRange(changes >= 1, "--changes");
        requireInRange(purgeSeconds >= 0, "--purge-seconds");
        requireInRange(loss >= 0 && loss < 1, "--loss");
        requireInRange(!killRelay || !direct && purgeSeconds == 0, "--kill-relay");
        Plan plan = purgeSeconds > 0 ? purges() : configurations();
        MeasurementWriter writer = new MeasurementWriter(System.out, MeasurementContext.here());
        writer.write(name(), settings(plan), figures(PropagationRuns.run(plan)));
        return 0;
    }

    private String name() {
        return purgeSeconds > 0 ? "propagation_of_purges" : "propagation_of_configurations";
    }

    private Plan configurations() {
        return new Plan(
                FleetLayout.of(members),
                PropagationSettings.CONFIGURATIONS,
                direct,
                loss,
                killRelay,
                changes,
                CONFIGURATION_BYTES,
                true,
                CONFIGURATION_INTERVAL,
                seed);
    }

    private Plan purges() {
        return new Plan(
                FleetLayout.of(members),
                PropagationSettings.PURGES,
                direct,
                loss,
                false,
                PURGES_PER_SECOND * purgeSeconds,
                PURGE_BYTES,
                false,
                Ticks.SECOND / PURGES_PER_SECOND,
                seed);
    }

    private static Map<String, Object> settings(Plan plan) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("members", plan.layout().members());
        settings.put("sites", plan.layout().sites());
        settings.put("regions", plan.layout().regions());
        settings.put("controls", plan.layout().controls());
        settings.put("changes", plan.changes());
        settings.put("body_bytes", plan.bodyBytes());
        settings.put("loss", plan.loss());
        settings.put("kill_relay", plan.killRelay());
        settings.put("direct", plan.direct());
        settings.put("seed", plan.seed());
        return settings;
    }

    private static Map<String, Number> figures(Result result) {
        Map<String, Number> figures = new LinkedHashMap<>();
        put(figures, "in_force", result.inForce());
        put(figures, "known", result.known());
        put(figures, "member_quiet", result.quietMembers());
        put(figures, "member", result.members());
        put(figures, "control", result.controls());
        figures.put("most_children", result.maxDownstreams());
        figures.put("violations", result.violations());
        return figures;
    }

    private static void put(Map<String, Number> figures, String name, Delays delays) {
        figures.put(name + "_median_seconds", delays.median());
        figures.put(name + "_99_of_100_seconds", delays.percentile99());
        figures.put(name + "_worst_seconds", delays.worst());
        figures.put(name + "_never", delays.incomplete());
    }

    private static void put(Map<String, Number> figures, String name, Traffic traffic) {
        figures.put(name + "_sent_bytes_per_second", Math.round(traffic.sent()));
        figures.put(name + "_most_sent_bytes_per_second", Math.round(traffic.maxSent()));
        figures.put(name + "_received_bytes_per_second", Math.round(traffic.received()));
        figures.put(name + "_most_received_bytes_per_second", Math.round(traffic.maxReceived()));
        figures.put(name + "_messages_per_second", traffic.messages());
    }

    private static void requireInRange(boolean inRange, String key) {
        if (!inRange) {
            throw new ConfigurationException(key, "is out of range");
        }
    }
}

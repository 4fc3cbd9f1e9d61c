package cairnbridge.scale.control;

import cairnbridge.config.ConfigurationException;
import cairnbridge.scale.MeasurementWriter;
import com.sun.management.UnixOperatingSystemMXBean;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Plays fleets of several sizes and writes each figure, and lines fitted over the sizes. */
public final class ControlMeasurements {
    private static final int LEAST_MEMBERS = ControlRun.SEED_MEMBERS + 1;

    /**
     * What is measured.
     *
     * @param sizes members of each fleet
     * @param processes that share a fleet's members
     * @param plays of each size
     * @param seed of the first play; each next one has the next
     * @param nodes cache nodes to be probed; 0 turns that off
     * @param changingFigures whether members tell new figures all the time
     */
    public record Request(
            List<Integer> sizes,
            int processes,
            int plays,
            long seed,
            int settleSeconds,
            int quietSeconds,
            int changes,
            int nodes,
            boolean changingFigures) {
        /** Throws a ConfigFault that names the option at fault. */
        public Request {
            sizes = List.copyOf(sizes);
            check(!sizes.isEmpty(), "--members", "is empty");
            check(
                    sizes.stream().allMatch(size -> size >= LEAST_MEMBERS),
                    "--members",
                    "has a size below " + LEAST_MEMBERS);
            check(processes >= 1, "--processes", "is below 1");
            check(plays >= 1, "--plays", "is below 1");
            check(settleSeconds >= 0, "--settle-seconds", "is below 0");
            check(quietSeconds >= 1, "--quiet-seconds", "is below 1");
            check(changes >= 0, "--changes", "is below 0");
            check(nodes >= 0, "--nodes", "is below 0");
        }

        private static void check(boolean holds, String key, String fault) {
            if (!holds) {
                throw new ConfigurationException(key, fault);
            }
        }

        private ControlSettings settings(int size, int play) {
            HollowSettings hollow = new HollowSettings(size, nodes, changingFigures, seed + play);
            return new ControlSettings(hollow, processes, settleSeconds, quietSeconds, changes);
        }
    }

    private final Request request;
    private final MeasurementWriter writer;
    private final PrintStream notes;

    /** notes: where it is said beforehand what a run will take. */
    public ControlMeasurements(Request request, MeasurementWriter writer, PrintStream notes) {
        this.request = request;
        this.writer = writer;
        this.notes = notes;
    }

    /** Plays all; a ConfigFault before anything is started where the machine has too little. */
    public void run() throws IOException, InterruptedException {
        List<ControlPlan> plans = plans(machine());
        plans.forEach(plan -> notes.println(plan.describe()));
        ControlFits fits = new ControlFits();
        for (ControlPlan plan : plans) {
            for (int play = 0; play < request.plays(); play++) {
                play(plan, play, fits);
            }
        }
        fits.write(writer);
    }

    private List<ControlPlan> plans(ControlPlan.Machine machine) {
        List<ControlPlan> plans = new ArrayList<>();
        for (int size : request.sizes()) {
            ControlPlan plan = ControlPlan.of(size, request.processes());
            plan.check(machine);
            plans.add(plan);
        }
        return plans;
    }

    private static ControlPlan.Machine machine() {
        UnixOperatingSystemMXBean system =
                ManagementFactory.getPlatformMXBean(UnixOperatingSystemMXBean.class);
        return new ControlPlan.Machine(
                system.getTotalMemorySize(), system.getMaxFileDescriptorCount());
    }

    private void play(ControlPlan plan, int play, ControlFits fits)
            throws IOException, InterruptedException {
        ControlSettings settings = request.settings(plan.members(), play);
        Map<String, Object> described = settings.describe(play + 1);
        try (ControlRun run =
                new ControlRun(settings, plan.heapLimit(), new LineListener(described))) {
            PlayResult result = run.play();
            Map<String, Number> figures = new LinkedHashMap<>(result.figures());
            figures.putAll(ChangeSummary.of(result.changes()));
            writer.write(ControlFits.PLAY, described, figures);
            fits.add(plan.members(), figures);
        }
    }

    /** Writes a line for each part of a play. */
    private final class LineListener implements ControlRun.Listener {
        private final Map<String, Object> described;

        LineListener(Map<String, Object> described) {
            this.described = described;
        }

        @Override
        public void quiet(Map<String, Number> figures) throws IOException {
            writer.write("control_quiet", described, figures);
        }

        @Override
        public void changed(ChangeResult change) throws IOException {
            Map<String, Object> settings = new LinkedHashMap<>(described);
            settings.put("kind", change.kind().word());
            writer.write("control_change", settings, change.figures());
        }
    }
}

package cairnbridge.fleet.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import cairnbridge.fleet.membership.MembershipView;
import cairnbridge.hash.SplitMix64;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Compares {@link TaskAssignment#dueTasks} with a reference implementation, for random sequences of
 * views and task lists. -Dduties.courses=N sets the number of runs.
 */
class TaskAssignmentPropertyTest {
    private static final int RUNS = Integer.getInteger("duties.courses", 300);
    private static final long FIRST_SEED = Long.getLong("duties.seed", 1);
    private static final int STEPS_PER_RUN = 60;
    private static final long INTERVAL = 20_000;

    /**
     * The first four names, one of them that of the tested member, have the same hash, so that
     * equal weights occur.
     */
    private static final List<String> NAMES =
            List.of("AaAa", "AaBB", "BBAa", "BBBB", "p0", "p1", "p2", "p3", "p4", "p5", "p6");

    private int totalDue;

    /**
     * Reference implementation: computes the weights of all members for every task in every call.
     */
    private static final class ReferenceAssignment {
        private final Map<Long, Long> doneAt = new HashMap<>();

        List<Long> dueTasks(MembershipView view, List<Long> tasks, long now) {
            doneAt.keySet().retainAll(tasks);
            List<Long> due = new ArrayList<>();
            for (long task : tasks) {
                if (!TaskFleet.SELF.equals(owner(view, task))) {
                    doneAt.remove(task);
                } else if (now - doneAt.computeIfAbsent(task, id -> now) >= INTERVAL) {
                    doneAt.put(task, now);
                    due.add(task);
                }
            }
            return due;
        }

        private static MemberId owner(MembershipView view, long task) {
            return view.members().stream()
                    .filter(ReferenceAssignment::isEligible)
                    .map(MemberState::id)
                    .min(
                            Comparator.comparing(
                                            (MemberId id) ->
                                                    SplitMix64.mix(id.name().hashCode(), task))
                                    .reversed()
                                    .thenComparing(Comparator.naturalOrder()))
                    .orElse(null);
        }

        private static boolean isEligible(MemberState member) {
            return member.status().isLive()
                    && member.metadata() != null
                    && member.metadata().zone().equals(TaskFleet.ZONE)
                    && List.of(MemberMetadata.Lifecycle.SERVING, MemberMetadata.Lifecycle.STANDBY)
                            .contains(member.metadata().lifecycle());
        }
    }

    @Test
    void dueTasksMatchTheReferenceForRandomViewsAndTasks() {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
            run(seed);
        }
        assertTrue(totalDue > 10 * RUNS, totalDue + " due in all runs");
    }

    private void run(long seed) {
        Random random = new Random(seed);
        TaskAssignment assignment = new TaskAssignment(TaskFleet.SELF, TaskFleet.ZONE, INTERVAL);
        ReferenceAssignment reference = new ReferenceAssignment();
        TaskFleet fleet = new TaskFleet();
        NAMES.forEach(name -> fleet.alive(name, TaskFleet.ZONE));
        MembershipView view = fleet.view();
        List<Long> tasks = LongStream.range(0, 12).boxed().toList();
        long now = 0;
        for (int step = 0; step < STEPS_PER_RUN; step++) {
            if (random.nextInt(3) == 0) {
                tasks = LongStream.range(0, 20).filter(i -> random.nextInt(3) > 0).boxed().toList();
            }
            if (random.nextInt(3) > 0) {
                change(fleet, random);
                view = fleet.view();
            }
            now += random.nextLong(INTERVAL);
            List<Long> due = reference.dueTasks(view, tasks, now);
            assertEquals(
                    due, assignment.dueTasks(view, tasks, now), "seed " + seed + ", step " + step);
            totalDue += due.size();
        }
    }

    private static void change(TaskFleet fleet, Random random) {
        for (int i = random.nextInt(4); i >= 0; i--) {
            String name = NAMES.get(random.nextInt(NAMES.size()));
            switch (random.nextInt(6)) {
                case 0 -> fleet.remove(name);
                case 1 -> fleet.withoutMetadata(name, MemberStatus.ALIVE);
                case 2 -> fleet.alive(name, random.nextBoolean() ? TaskFleet.ZONE : "b");
                default ->
                        fleet.put(
                                name,
                                TaskFleet.ZONE,
                                randomOf(MemberStatus.values(), random),
                                randomOf(MemberMetadata.Lifecycle.values(), random),
                                random.nextInt(9));
            }
        }
    }

    private static <T> T randomOf(T[] values, Random random) {
        return values[random.nextInt(values.length)];
    }
}

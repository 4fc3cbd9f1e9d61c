package cairnbridge.fleet.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.member.MemberStatus;
import cairnbridge.fleet.membership.MembershipView;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Counts the work of {@link TaskAssignment#dueTasks}: passes over the view and computed weights. An
 * unchanged view costs neither; a new view costs one pass and the weights of what has changed in
 * it.
 */
class TaskAssignmentWorkTest {
    private static final long INTERVAL = 20_000;

    private final TaskFleet fleet = new TaskFleet();
    private int passes;
    private int weights;
    private final TaskAssignment assignment =
            new TaskAssignment(
                    TaskFleet.SELF,
                    TaskFleet.ZONE,
                    INTERVAL,
                    (view, zone) -> {
                        passes++;
                        return TaskAssignment.eligibleMembers(view, zone);
                    },
                    (member, task) -> {
                        weights++;
                        return TaskAssignment.weight(member, task);
                    });

    private void fill(int members, int tasks) {
        fleet.alive(TaskFleet.SELF.name(), TaskFleet.ZONE);
        for (int i = 1; i < members; i++) {
            fleet.alive("p" + i, TaskFleet.ZONE);
        }
        for (int i = 0; i < 3 * members; i++) {
            fleet.alive("q" + i, "b");
        }
        computeDueTasks(fleet.view(), firstTasks(tasks));
    }

    private static List<Long> firstTasks(int count) {
        return LongStream.range(0, count).boxed().toList();
    }

    private void computeDueTasks(MembershipView view, List<Long> tasks) {
        passes = 0;
        weights = 0;
        assignment.dueTasks(view, tasks, 0);
    }

    @ParameterizedTest
    @CsvSource({"3, 18", "12, 78", "45, 311", "90, 620"})
    void firstCallComputesEachWeightOnce(int members, int tasks) {
        fill(members, tasks);
        assertEquals(1, passes);
        assertEquals(members * tasks, weights);
    }

    @ParameterizedTest
    @CsvSource({"3, 18", "12, 78", "45, 311", "90, 620"})
    void unchangedViewCostsNoPassAndNoWeight(int members, int tasks) {
        fill(members, tasks);
        MembershipView view = fleet.view();
        computeDueTasks(view, firstTasks(tasks));
        computeDueTasks(view, firstTasks(tasks));
        assertEquals(0, passes);
        assertEquals(0, weights);
    }

    @ParameterizedTest
    @CsvSource({"3, 18", "12, 78", "45, 311", "90, 620"})
    void changedMetricsCostOnePassAndNoWeight(int members, int tasks) {
        fill(members, tasks);
        fleet.put("p1", TaskFleet.ZONE, MemberStatus.ALIVE, MemberMetadata.Lifecycle.SERVING, 7);
        fleet.put("q1", "b", MemberStatus.DEAD, MemberMetadata.Lifecycle.SERVING, 7);
        computeDueTasks(fleet.view(), firstTasks(tasks));
        assertEquals(1, passes);
        assertEquals(0, weights);
    }

    @ParameterizedTest
    @CsvSource({"3, 18", "12, 78", "45, 311", "90, 620"})
    void joiningMemberCostsOneWeightPerTask(int members, int tasks) {
        fill(members, tasks);
        computeDueTasks(fleet.alive("new", TaskFleet.ZONE).view(), firstTasks(tasks));
        assertEquals(1, passes);
        assertEquals(tasks, weights);
    }

    @ParameterizedTest
    @CsvSource({"3, 18", "12, 78", "45, 311", "90, 620"})
    void leavingMemberCostsTheWeightsOfItsOwnTasksOnly(int members, int tasks) {
        fill(members, tasks);
        MemberId leaver = new MemberId("p1");
        MembershipView before = fleet.view();
        long owned =
                firstTasks(tasks).stream()
                        .filter(
                                task ->
                                        TaskAssignment.candidatesInOrder(
                                                        before, TaskFleet.ZONE, task)
                                                .get(0)
                                                .equals(leaver))
                        .count();
        assertTrue(owned < tasks, "it owns some tasks, not all");
        computeDueTasks(fleet.remove("p1").view(), firstTasks(tasks));
        assertEquals(1, passes);
        assertEquals(owned * (members - 1), weights);
    }

    @ParameterizedTest
    @CsvSource({"3, 18", "12, 78", "45, 311", "90, 620"})
    void newTaskCostsOneWeightPerCandidate(int members, int tasks) {
        fill(members, tasks);
        MembershipView view = fleet.view();
        computeDueTasks(view, firstTasks(tasks));
        computeDueTasks(view, firstTasks(tasks + 1));
        assertEquals(0, passes);
        assertEquals(members, weights);
        computeDueTasks(view, firstTasks(tasks));
        assertEquals(0, weights, "a removed task costs nothing");
    }
}

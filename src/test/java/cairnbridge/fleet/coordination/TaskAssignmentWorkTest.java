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
 * Counts the work of a call of due: passes over the view and weights computed. A view that has not
 * changed costs neither; a new view costs one pass and the weights of what has changed in it.
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
                    (member, duty) -> {
                        weights++;
                        return TaskAssignment.weight(member, duty);
                    });

    private void fill(int peers, int nodes) {
        fleet.alive(TaskFleet.SELF.name(), TaskFleet.ZONE);
        for (int i = 1; i < peers; i++) {
            fleet.alive("p" + i, TaskFleet.ZONE);
        }
        for (int i = 0; i < 3 * peers; i++) {
            fleet.alive("q" + i, "b");
        }
        computeDueTasks(fleet.view(), firstTasks(nodes));
    }

    private static List<Long> firstTasks(int count) {
        return LongStream.range(0, count).boxed().toList();
    }

    private void computeDueTasks(MembershipView view, List<Long> nodes) {
        passes = 0;
        weights = 0;
        assignment.dueTasks(view, nodes, 0);
    }

    @ParameterizedTest
    @CsvSource({"3, 18", "12, 78", "45, 311", "90, 620"})
    void firstCallComputesEachWeightOnce(int peers, int nodes) {
        fill(peers, nodes);
        assertEquals(1, passes);
        assertEquals(peers * nodes, weights);
    }

    @ParameterizedTest
    @CsvSource({"3, 18", "12, 78", "45, 311", "90, 620"})
    void unchangedViewCostsNoPassAndNoWeight(int peers, int nodes) {
        fill(peers, nodes);
        MembershipView view = fleet.view();
        computeDueTasks(view, firstTasks(nodes));
        computeDueTasks(view, firstTasks(nodes));
        assertEquals(0, passes);
        assertEquals(0, weights);
    }

    @ParameterizedTest
    @CsvSource({"3, 18", "12, 78", "45, 311", "90, 620"})
    void changedMetricsCostOnePassAndNoWeight(int peers, int nodes) {
        fill(peers, nodes);
        fleet.put("p1", TaskFleet.ZONE, MemberStatus.ALIVE, MemberMetadata.Lifecycle.SERVING, 7);
        fleet.put("q1", "b", MemberStatus.DEAD, MemberMetadata.Lifecycle.SERVING, 7);
        computeDueTasks(fleet.view(), firstTasks(nodes));
        assertEquals(1, passes);
        assertEquals(0, weights);
    }

    @ParameterizedTest
    @CsvSource({"3, 18", "12, 78", "45, 311", "90, 620"})
    void joiningMemberCostsOneWeightPerTask(int peers, int nodes) {
        fill(peers, nodes);
        computeDueTasks(fleet.alive("new", TaskFleet.ZONE).view(), firstTasks(nodes));
        assertEquals(1, passes);
        assertEquals(nodes, weights);
    }

    @ParameterizedTest
    @CsvSource({"3, 18", "12, 78", "45, 311", "90, 620"})
    void leavingMemberCostsTheWeightsOfItsOwnTasksOnly(int peers, int nodes) {
        fill(peers, nodes);
        MemberId leaver = new MemberId("p1");
        MembershipView before = fleet.view();
        long owned =
                firstTasks(nodes).stream()
                        .filter(
                                node ->
                                        TaskAssignment.candidatesInOrder(
                                                        before, TaskFleet.ZONE, node)
                                                .get(0)
                                                .equals(leaver))
                        .count();
        assertTrue(owned < nodes, "it owns some nodes, not all");
        computeDueTasks(fleet.remove("p1").view(), firstTasks(nodes));
        assertEquals(1, passes);
        assertEquals(owned * (peers - 1), weights);
    }

    @ParameterizedTest
    @CsvSource({"3, 18", "12, 78", "45, 311", "90, 620"})
    void newTaskCostsOneWeightPerCandidate(int peers, int nodes) {
        fill(peers, nodes);
        MembershipView view = fleet.view();
        computeDueTasks(view, firstTasks(nodes));
        computeDueTasks(view, firstTasks(nodes + 1));
        assertEquals(0, passes);
        assertEquals(peers, weights);
        computeDueTasks(view, firstTasks(nodes));
        assertEquals(0, weights, "a node that goes costs nothing");
    }
}

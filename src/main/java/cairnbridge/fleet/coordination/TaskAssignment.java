package cairnbridge.fleet.coordination;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.membership.MembershipView;
import cairnbridge.hash.SplitMix64;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Assigns periodic tasks that one member of a zone performs for all. The owner of a task is the
 * live member with the highest hash of name and task (rendezvous hashing, Thaler and Ravishankar
 * 1998). All members with the same view compute the same owner. When an owner dies, the member with
 * the next highest hash takes over, and no other task moves.
 *
 * <p>A call with the same view object as the call before costs nothing. Another view costs one pass
 * over its members, and weights are computed only where the candidates have changed.
 */
public final class TaskAssignment {
    /** Selects the members of a zone that are eligible for tasks. */
    interface Candidates {
        Set<MemberId> of(MembershipView view, String zone);
    }

    private final MemberId self;
    private final String zone;
    private final long interval;
    private final Candidates candidates;
    private final TaskOwners owners;
    private final Map<Long, Long> doneAt = new HashMap<>();
    private MembershipView latestView;
    private List<Long> latestTasks = List.of();

    /**
     * Creates the task assignment of one member in a zone.
     *
     * @param interval the time between two executions of a task by its owner
     */
    public TaskAssignment(MemberId self, String zone, long interval) {
        this(self, zone, interval, TaskAssignment::eligibleMembers, TaskAssignment::weight);
    }

    /** For tests that count passes over views and computed weights. */
    TaskAssignment(
            MemberId self,
            String zone,
            long interval,
            Candidates candidates,
            TaskOwners.Weight weight) {
        this.self = self;
        this.zone = zone;
        this.interval = interval;
        this.candidates = candidates;
        owners = new TaskOwners(weight);
    }

    /** The members of a zone that are eligible for a task, the owner first. */
    public static List<MemberId> candidatesInOrder(MembershipView view, String zone, long task) {
        Comparator<MemberId> byWeight = Comparator.comparingLong(id -> weight(id, task));
        return eligibleMembers(view, zone).stream()
                .sorted(byWeight.reversed().thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    static Set<MemberId> eligibleMembers(MembershipView view, String zone) {
        Set<MemberId> eligible = new HashSet<>();
        for (MemberState member : view.liveMembers()) {
            if (member.isInZone(zone) && member.metadata().isOperational()) {
                eligible.add(member.id());
            }
        }
        return eligible;
    }

    static long weight(MemberId id, long task) {
        return SplitMix64.mix(id.name().hashCode(), task);
    }

    /**
     * Returns those of the tasks that this member must perform now. Guards against a task that is
     * performed twice as often while two members hold different views: a new owner waits for one
     * interval first.
     */
    public List<Long> dueTasks(MembershipView view, List<Long> tasks, long now) {
        updateCandidates(view);
        retainTasks(tasks);
        List<Long> due = new ArrayList<>();
        for (long task : tasks) {
            if (!owners.isOwner(self, task)) {
                doneAt.remove(task);
            } else if (now - doneAt.computeIfAbsent(task, id -> now) >= interval) {
                doneAt.put(task, now);
                due.add(task);
            }
        }
        return due;
    }

    private void updateCandidates(MembershipView view) {
        if (view != latestView) {
            owners.setCandidates(candidates.of(view, zone));
            latestView = view;
        }
    }

    private void retainTasks(List<Long> tasks) {
        if (!tasks.equals(latestTasks)) {
            Set<Long> present = new HashSet<>(tasks);
            owners.retain(present);
            doneAt.keySet().retainAll(present);
            latestTasks = List.copyOf(tasks);
        }
    }
}

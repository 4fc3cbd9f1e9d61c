package cairnbridge.fleet.coordination;

import cairnbridge.fleet.member.MemberId;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The owner of each task: the candidate with the highest weight, and of equal ones the first by
 * name. Owners are cached. A change of the candidates computes only the weights of candidates that
 * join, and all weights of tasks whose owner is no longer a candidate.
 */
final class TaskOwners {
    /** The weight of a candidate for a task in rendezvous hashing; equal at every member. */
    interface Weight {
        long of(MemberId candidate, long task);
    }

    private record Owner(MemberId id, long weight) {
        boolean isBefore(Owner other) {
            return weight != other.weight ? weight > other.weight : id.compareTo(other.id) < 0;
        }
    }

    private final Weight weight;
    private final Map<Long, Owner> owners = new HashMap<>();
    private Set<MemberId> candidates = Set.of();

    TaskOwners(Weight weight) {
        this.weight = weight;
    }

    /** The owner of a task; empty if there is no candidate. */
    Optional<MemberId> ownerOf(long task) {
        Owner owner = owners.get(task);
        if (owner == null && !candidates.isEmpty()) {
            owner = best(null, candidates, task);
            owners.put(task, owner);
        }
        return Optional.ofNullable(owner).map(Owner::id);
    }

    boolean isOwner(MemberId id, long task) {
        return ownerOf(task).filter(id::equals).isPresent();
    }

    /** Forgets the owners of all tasks except these. */
    void retain(Collection<Long> tasks) {
        owners.keySet().retainAll(tasks);
    }

    /** Replaces the members that can own tasks. */
    void setCandidates(Set<MemberId> current) {
        if (current.equals(candidates)) {
            return;
        }
        Set<MemberId> joined = new HashSet<>(current);
        joined.removeAll(candidates);
        candidates = Set.copyOf(current);
        if (candidates.isEmpty()) {
            owners.clear();
        } else {
            owners.replaceAll((task, owner) -> ownerAfterChange(task, owner, joined));
        }
    }

    private Owner ownerAfterChange(long task, Owner owner, Set<MemberId> joined) {
        return candidates.contains(owner.id)
                ? best(owner, joined, task)
                : best(null, candidates, task);
    }

    /**
     * The owner with the highest weight, ties broken by name, among the incumbent, which may be
     * null, and the others.
     */
    private Owner best(Owner incumbent, Collection<MemberId> others, long task) {
        Owner best = incumbent;
        for (MemberId id : others) {
            Owner other = new Owner(id, weight.of(id, task));
            if (best == null || other.isBefore(best)) {
                best = other;
            }
        }
        return best;
    }
}

package cairnbridge.fleet.membership;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.agrona.collections.Object2ObjectHashMap;

/**
 * The records of all members except the local one, with lists of live and dead members for random
 * choices, and digests of all states.
 */
final class MemberTable {
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.65f;

    /** Open addressing takes a third of the memory per entry of a JDK map. */
    private final Map<MemberId, MemberRecord> records =
            new Object2ObjectHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, false);

    private final List<MemberRecord> live = new ArrayList<>();
    private final List<MemberRecord> dead = new ArrayList<>();
    private final long[] partitionDigests = new long[MemberDigest.PARTITIONS];
    private long digest;
    private final int maxMembers;

    MemberTable(int maxMembers) {
        this.maxMembers = maxMembers;
    }

    /** The record of a member; null if unknown. Called for every update in every message. */
    MemberRecord get(MemberId id) {
        return records.get(id);
    }

    /** Whether the table holds this record object. */
    boolean contains(MemberRecord record) {
        return records.get(record.id) == record;
    }

    Collection<MemberRecord> all() {
        return Collections.unmodifiableCollection(records.values());
    }

    List<MemberRecord> live() {
        return Collections.unmodifiableList(live);
    }

    List<MemberRecord> dead() {
        return Collections.unmodifiableList(dead);
    }

    /** Adds a member; empty if the table is full of live members. */
    Optional<MemberRecord> add(MemberState state, long now) {
        if (records.size() >= maxMembers && !evictOldestDeadOrLeft()) {
            return Optional.empty();
        }
        MemberRecord record = new MemberRecord(state, now);
        records.put(record.id, record);
        addToList(record);
        addToDigest(record);
        return Optional.of(record);
    }

    /**
     * Removes the member that left longest ago or, if none has left, the one that died longest ago.
     * Guards against a table that grows with every member name ever used.
     */
    private boolean evictOldestDeadOrLeft() {
        Comparator<MemberRecord> leftFirst =
                Comparator.comparing(record -> record.state.status() != MemberStatus.LEFT);
        Optional<MemberRecord> oldest =
                records.values().stream()
                        .filter(record -> !record.isLive())
                        .min(leftFirst.thenComparingLong(record -> record.statusChangedAt));
        oldest.ifPresent(this::remove);
        return oldest.isPresent();
    }

    void remove(MemberRecord record) {
        removeFromDigest(record);
        removeFromList(record);
        records.remove(record.id);
    }

    /** Replaces the state of a member and updates lists and digests accordingly. */
    void update(MemberRecord record, MemberState state, long now) {
        assert state.incarnation().compareTo(record.state.incarnation()) >= 0
                : "incarnation decreased";
        MemberStatus before = record.state.status();
        removeFromDigest(record);
        boolean changesList = listFor(before) != listFor(state.status());
        if (changesList) {
            removeFromList(record);
        }
        record.state = state;
        if (changesList) {
            addToList(record);
        }
        if (before != state.status()) {
            record.statusChangedAt = now;
        }
        addToDigest(record);
    }

    /** The list of members with this status; null for members that left. */
    private List<MemberRecord> listFor(MemberStatus status) {
        return switch (status) {
            case ALIVE, SUSPECT -> live;
            case DEAD -> dead;
            case LEFT -> null;
        };
    }

    private void addToList(MemberRecord record) {
        List<MemberRecord> list = listFor(record.state.status());
        if (list != null) {
            record.listIndex = list.size();
            list.add(record);
        }
    }

    /** Removes a record from its list; the last entry of the list moves to its index. */
    private void removeFromList(MemberRecord record) {
        List<MemberRecord> list = listFor(record.state.status());
        if (list == null) {
            return;
        }
        MemberRecord last = list.remove(list.size() - 1);
        if (last != record) {
            list.set(record.listIndex, last);
            last.listIndex = record.listIndex;
        }
        record.clearListIndex();
    }

    /**
     * Distinct live members chosen at random; fewer than {@code count} if a bounded number of draws
     * does not find as many.
     */
    List<MemberRecord> randomLive(int count, RandomGenerator random) {
        List<MemberRecord> chosen = new ArrayList<>(count);
        int attempts = 4 * count + 4;
        for (int i = 0; i < attempts && chosen.size() < count && !live.isEmpty(); i++) {
            MemberRecord record = live.get(random.nextInt(live.size()));
            if (!chosen.contains(record)) {
                chosen.add(record);
            }
        }
        return chosen;
    }

    /** Hash of all members and their states; equal for equal contents. */
    long digest() {
        return digest;
    }

    /** Hash of one partition, including the metadata versions. */
    long partitionDigest(int partition) {
        return partitionDigests[partition];
    }

    private void addToDigest(MemberRecord record) {
        record.inDigest = true;
        toggleInDigest(record);
    }

    /**
     * Excludes a member from the digests. Members forget dead ones at different times, and such a
     * difference must not cause a comparison.
     */
    void removeFromDigest(MemberRecord record) {
        if (record.inDigest) {
            record.inDigest = false;
            toggleInDigest(record);
        }
    }

    private void toggleInDigest(MemberRecord record) {
        partitionDigests[MemberDigest.partitionOf(record.id)] ^=
                MemberDigest.withMetadataVersion(record.state);
        digest ^= MemberDigest.of(record.state);
    }
}

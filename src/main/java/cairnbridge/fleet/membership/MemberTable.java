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
 * All members but this one. It keeps lists of the live and of the dead members, for choosing one at
 * random, and digests of the whole.
 */
final class MemberTable {
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.65f;

    /** Open addressing: a third of the memory that a JDK map takes for each entry. */
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

    /** The record of a member; null if it is not known. Called for each update of each message. */
    MemberRecord get(MemberId id) {
        return records.get(id);
    }

    /** Whether this record is the one in the table. */
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

    /** Guards against a table that grows with every name there ever was. */
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

    /** Replaces the state of a member; lists and digests follow. */
    void update(MemberRecord record, MemberState state, long now) {
        assert state.incarnation().compareTo(record.state.incarnation()) >= 0
                : "an incarnation goes back";
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

    /** The list that holds members of a status; null for those that left. */
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

    /** The last entry takes the place of the one that is removed. */
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

    /** Live members chosen at random, all different; fewer if there are not as many. */
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

    /** A hash of the members and their states; equal where the same is held. */
    long digest() {
        return digest;
    }

    /** The same for one partition, with what changes often. */
    long partitionDigest(int partition) {
        return partitionDigests[partition];
    }

    private void addToDigest(MemberRecord record) {
        record.inDigest = true;
        toggleInDigest(record);
    }

    /**
     * Leaves a member out of the digests: members forget the dead at different times, which is no
     * reason to exchange views.
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

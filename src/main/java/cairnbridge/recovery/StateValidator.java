package cairnbridge.recovery;

import cairnbridge.store.PersistedState;
import cairnbridge.store.PersistedState.EndpointList;
import cairnbridge.store.PersistedState.LoggedState;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides which parts of a persisted state are used. Nothing is used of another cluster's state.
 * The logged state is used whatever its age; the content of a snapshot only if it is neither too
 * old nor too far ahead of the clock. {@code docs/design/recovery.md} has a table of the rules.
 * Times are Unix times in milliseconds. The lines of the report are part of the answer of the admin
 * call {@code recovery}.
 */
public final class StateValidator {
    /** The clocks of a fleet's machines may differ by this much, so a snapshot may be ahead. */
    static final long MAX_CLOCK_SKEW_MILLIS = 5_000;

    private static final int MAX_CONTACTS = 64;

    private final String cluster;
    private final String bootId;
    private final long nowMillis;
    private final long maxAgeMillis;

    /**
     * Creates a validator for states that are read now.
     *
     * @param cluster the name of the cluster that the state has to belong to
     * @param bootId the kernel's boot id; empty if unknown
     * @param nowMillis the time by this machine's clock, which may be wrong
     * @param maxAgeMillis the maximum age of a snapshot whose content is used
     */
    public StateValidator(String cluster, String bootId, long nowMillis, long maxAgeMillis) {
        this.cluster = cluster;
        this.bootId = bootId;
        this.nowMillis = nowMillis;
        this.maxAgeMillis = maxAgeMillis;
    }

    /** Returns the part of a state that is used. */
    public RestoredState validate(PersistedState state) {
        if (!state.cluster().equals(cluster)) {
            return ofOtherCluster(state.cluster());
        }
        List<String> report = new ArrayList<>();
        reportLogged(state.logged(), report);
        Optional<String> unusable = rejectionReason(state.content());
        if (unusable.isPresent()) {
            report.add("list, members, trust in nodes: not used, " + unusable.get());
            return restored(state.logged(), EndpointList.NONE, List.of(), 0, false, report);
        }
        return validateContent(state, report);
    }

    private static RestoredState ofOtherCluster(String otherCluster) {
        String line = "nothing is used, the state is of cluster '" + otherCluster + "'";
        return restored(LoggedState.EMPTY, EndpointList.NONE, List.of(), 0, false, List.of(line));
    }

    private static RestoredState restored(
            LoggedState logged,
            EndpointList endpointList,
            List<PersistedState.Peer> contacts,
            int livePeers,
            boolean isNodeTrustUsable,
            List<String> report) {
        return new RestoredState(
                logged.nodesInMaintenance(),
                logged.generation(),
                logged.planEpoch(),
                endpointList,
                contacts,
                livePeers,
                isNodeTrustUsable,
                report);
    }

    /**
     * Reports the logged state, which is used whatever its age. Maintenance lasts until an operator
     * ends it. Generations and epochs may skip numbers, so a persisted one does no harm as a floor.
     */
    private static void reportLogged(LoggedState logged, List<String> report) {
        report.add("holds: " + logged.nodesInMaintenance().size() + ", used whatever their age");
        report.add("own life: over " + logged.generation() + ", whatever its age");
        report.add("epoch: " + logged.planEpoch() + " as a floor, whatever its age");
    }

    /** Why the content of a snapshot is not used; empty if it is used. */
    private Optional<String> rejectionReason(PersistedState.Content content) {
        if (content.writtenAtMillis() == 0) {
            return Optional.of("there is no snapshot");
        }
        long ageMillis = nowMillis - content.writtenAtMillis();
        if (ageMillis < -MAX_CLOCK_SKEW_MILLIS) {
            return Optional.of("the snapshot is " + seconds(-ageMillis) + " s ahead of the clock");
        }
        if (ageMillis > maxAgeMillis) {
            return Optional.of(
                    "the snapshot is "
                            + seconds(ageMillis)
                            + " s old, over "
                            + seconds(maxAgeMillis));
        }
        return Optional.empty();
    }

    private RestoredState validateContent(PersistedState state, List<String> report) {
        PersistedState.Content content = state.content();
        String age =
                seconds(nowMillis - content.writtenAtMillis())
                        + " s old, by "
                        + (content.bootId().equals(bootId) ? "this boot" : "another boot");
        report.add(
                "list: version "
                        + content.endpointList().version()
                        + ", "
                        + age
                        + ", a first guess until discovery or a majority has as new a one");
        int live = (int) content.peers().stream().filter(PersistedState.Peer::live).count();
        report.add("members: " + live + " lived, " + age + ", asked after the seeds");
        report.add(
                "trust in nodes: "
                        + content.nodeTrust().nodes().size()
                        + ", "
                        + age
                        + ", fades by half every 15 s, none for a node that started later");
        return restored(
                state.logged(),
                content.endpointList(),
                liveFirst(content.peers()),
                live,
                true,
                report);
    }

    private static List<PersistedState.Peer> liveFirst(List<PersistedState.Peer> peers) {
        return peers.stream()
                .sorted(Comparator.comparing(PersistedState.Peer::live).reversed())
                .limit(MAX_CONTACTS)
                .toList();
    }

    private static long seconds(long millis) {
        return TimeUnit.MILLISECONDS.toSeconds(millis);
    }
}

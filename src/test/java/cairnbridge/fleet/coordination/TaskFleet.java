package cairnbridge.fleet.coordination;

import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.member.Incarnation;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.member.MemberMetrics;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import cairnbridge.fleet.membership.MembershipStatistics;
import cairnbridge.fleet.membership.MembershipView;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Builds membership views of a fleet that tests change member by member. */
final class TaskFleet {
    static final String ZONE = "a";

    /** Sorts between other names with the same hash, so that it wins some ties and loses others. */
    static final MemberId SELF = new MemberId("AaBB");

    private static final MembershipStatistics NO_STATISTICS = MembershipStatistics.EMPTY;

    private final Map<String, MemberState> members = new TreeMap<>();

    TaskFleet alive(String name, String zone) {
        return put(name, zone, MemberStatus.ALIVE, MemberMetadata.Lifecycle.SERVING, 0);
    }

    TaskFleet put(
            String name,
            String zone,
            MemberStatus status,
            MemberMetadata.Lifecycle lifecycle,
            long load) {
        MemberMetrics metrics =
                new MemberMetrics(
                        new MemberMetrics.Load(load, 1, 0),
                        new MemberMetrics.EndpointListStatus(0, false),
                        new MemberMetrics.Reachability(List.of(), List.of(), List.of()));
        MemberMetadata metadata =
                MemberMetadata.builder()
                        .location(zone, "r")
                        .protocolVersion(2)
                        .lifecycle(lifecycle)
                        .metrics(metrics)
                        .build();
        members.put(name, member(name, status, metadata));
        return this;
    }

    /** Adds a member whose metadata is unknown. */
    TaskFleet withoutMetadata(String name, MemberStatus status) {
        members.put(name, member(name, status, null));
        return this;
    }

    TaskFleet remove(String name) {
        members.remove(name);
        return this;
    }

    MembershipView view() {
        return new MembershipView(SELF, new ArrayList<>(members.values()), 0, NO_STATISTICS);
    }

    private static MemberState member(String name, MemberStatus status, MemberMetadata metadata) {
        return new MemberState(
                new MemberId(name),
                new Endpoint("10.0.0.1", 1000),
                new Incarnation(1, 0),
                status,
                null,
                1,
                metadata);
    }
}

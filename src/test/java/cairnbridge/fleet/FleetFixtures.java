package cairnbridge.fleet;

import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.member.Incarnation;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.member.MemberMetrics;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import cairnbridge.fleet.member.RecoveryProgress;
import cairnbridge.fleet.member.ZoneOutcome;
import java.util.List;

/**
 * The members and metadata from which the fixtures of gossip frames and admin answers were encoded.
 */
public final class FleetFixtures {
    private FleetFixtures() {}

    /** Metadata with a value in each field. */
    public static MemberMetadata fullMetadata() {
        return MemberMetadata.builder()
                .location("zone-a", "region-1")
                .protocolVersion(2)
                .lifecycle(MemberMetadata.Lifecycle.DRAINING)
                .clientAddress("10.0.0.1:80")
                .adminAddress("10.0.0.1:9901")
                .planEpoch(12)
                .recovery(new RecoveryProgress(3, 16, 11))
                .metrics(
                        new MemberMetrics(
                                new MemberMetrics.Load(7, 100, 41),
                                new MemberMetrics.EndpointListStatus(44, true),
                                new MemberMetrics.Reachability(
                                        List.of(-1L, 5L),
                                        List.of(
                                                new ZoneOutcome(-9, 120, 3),
                                                new ZoneOutcome(8, 10, 0)),
                                        List.of(77L, -78L))))
                .build();
    }

    /** Metadata with a zone and the default of every other field but the version. */
    public static MemberMetadata minimalMetadata() {
        return MemberMetadata.builder()
                .location("zone-b", "")
                .protocolVersion(1)
                .metrics(
                        new MemberMetrics(
                                new MemberMetrics.Load(0, 0, 0),
                                new MemberMetrics.EndpointListStatus(0, false),
                                new MemberMetrics.Reachability(List.of(), List.of(), List.of())))
                .build();
    }

    /** One member of each status. */
    public static List<MemberState> members() {
        Endpoint endpoint = new Endpoint("10.20.30.40", 7946);
        MemberId reporter = new MemberId("proxy-b");
        return List.of(
                new MemberState(
                        new MemberId("m0"),
                        endpoint,
                        new Incarnation(1_700_000_000_001L, 0),
                        MemberStatus.ALIVE,
                        null,
                        3,
                        fullMetadata()),
                new MemberState(
                        new MemberId("m1"),
                        new Endpoint("fd00::7", 1),
                        new Incarnation(Long.MAX_VALUE, 7),
                        MemberStatus.SUSPECT,
                        reporter,
                        0,
                        null),
                new MemberState(
                        new MemberId("m2"),
                        endpoint,
                        new Incarnation(1, 1),
                        MemberStatus.DEAD,
                        reporter,
                        0,
                        null),
                new MemberState(
                        new MemberId("m3"),
                        endpoint,
                        new Incarnation(2, 2),
                        MemberStatus.LEFT,
                        null,
                        9,
                        minimalMetadata()));
    }
}

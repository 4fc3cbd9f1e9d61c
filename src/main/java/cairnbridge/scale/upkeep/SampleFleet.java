package cairnbridge.scale.upkeep;

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
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

/** A generated fleet in its steady state: all members live, some change their figures. */
final class SampleFleet {
    static final int ZONES = 40;
    private static final int PROTOCOL = 2;
    private static final int FIRST_PORT = 10_000;
    private static final int UNREACHABLE_ONE_IN = 20;

    private final Random random;
    private final List<MemberState> claims = new ArrayList<>();
    private final List<Long> nodes;

    SampleFleet(int members, int nodeCount, long seed) {
        random = new Random(seed);
        nodes = LongStream.range(0, nodeCount).map(i -> random.nextLong()).boxed().toList();
        for (int i = 0; i < members; i++) {
            claims.add(claim(i, 1));
        }
    }

    static String zone(int member) {
        return "zone-" + member % ZONES;
    }

    static MemberId id(int member) {
        return new MemberId("proxy-" + member);
    }

    MemberId self() {
        return id(0);
    }

    List<Long> nodes() {
        return nodes;
    }

    int size() {
        return claims.size();
    }

    MemberState claim(int member) {
        return claims.get(member);
    }

    /** What a member announces with new figures. */
    MemberState claim(int member, long counter) {
        boolean misses = random.nextInt(UNREACHABLE_ONE_IN) == 0;
        List<Long> unreachable =
                misses ? List.of(nodes.get(random.nextInt(nodes.size()))) : List.of();
        MemberMetrics metrics =
                new MemberMetrics(
                        new MemberMetrics.Load(counter, 1_000, 0),
                        new MemberMetrics.EndpointListStatus(1, false),
                        new MemberMetrics.Reachability(unreachable, List.of(), List.of()));
        MemberMetadata told =
                MemberMetadata.builder()
                        .location(zone(member), "region-" + member % ZONES % 11)
                        .protocolVersion(PROTOCOL)
                        .clientAddress("10.0.0.1:80")
                        .adminAddress("10.0.0.1:81")
                        .metrics(metrics)
                        .build();
        return new MemberState(
                id(member),
                new Endpoint("10.0." + member / 250 + "." + member % 250, FIRST_PORT),
                new Incarnation(1, 0),
                MemberStatus.ALIVE,
                null,
                counter,
                told);
    }

    /** Consecutive views; in each some members have other figures than in the one before. */
    List<MembershipView> views(int count, int changes) {
        List<MemberState> held = new ArrayList<>(claims);
        Collections.shuffle(held, random);
        List<MembershipView> views = new ArrayList<>();
        for (int version = 0; version < count; version++) {
            for (int i = 0; i < changes; i++) {
                int changed = random.nextInt(held.size());
                MemberState before = held.get(changed);
                int member = Integer.parseInt(before.id().name().substring("proxy-".length()));
                held.set(changed, claim(member, before.metadataVersion() + 1));
            }
            views.add(new MembershipView(self(), held, version, MembershipStatistics.EMPTY));
        }
        return views;
    }

    /** Members of the first one's zone, that one excepted. */
    List<MemberId> zonePeers() {
        return IntStream.range(1, size())
                .filter(member -> zone(member).equals(zone(0)))
                .mapToObj(SampleFleet::id)
                .toList();
    }
}

package cairnbridge.scale.upkeep;

import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.member.Incarnation;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.Message;
import cairnbridge.fleet.member.Packet;
import cairnbridge.fleet.membership.MembershipEvent;
import cairnbridge.fleet.membership.MembershipHost;
import cairnbridge.fleet.membership.MembershipView;
import cairnbridge.fleet.membership.SwimProtocol;
import cairnbridge.fleet.membership.SwimSettings;
import cairnbridge.hash.SplitMix64;
import cairnbridge.time.Ticks;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * The state machine of one member among others that answer every ping at once, on a clock that is
 * only computed. Each simulated second brings new figures of some members.
 */
final class SampleMember implements MembershipHost {
    private static final int CLAIMS_A_PACKET = 8;
    private static final int TURNS_A_SECOND = 10;
    private static final int DIGEST_PARTS = 256;

    private final SampleFleet fleet;
    private final Random random;
    private final SwimProtocol machine;
    private final Map<MemberId, Long> counters = new HashMap<>();
    private final ArrayDeque<Packet> answers = new ArrayDeque<>();
    private long now = 1;
    private long callers;

    SampleMember(SampleFleet fleet, long seed) {
        this.fleet = fleet;
        random = new Random(seed);
        machine =
                new SwimProtocol(
                        SwimSettings.DEFAULT,
                        fleet.claim(0),
                        SwimProtocol.Contacts.seeds(List.of()),
                        seed,
                        now,
                        this);
        machine.start(now);
        for (int first = 1; first < fleet.size(); first += CLAIMS_A_PACKET) {
            List<MemberState> claims = new ArrayList<>();
            int end = Math.min(fleet.size(), first + CLAIMS_A_PACKET);
            for (int member = first; member < end; member++) {
                claims.add(fleet.claim(member));
            }
            hear(claims);
        }
    }

    /** Gossip, probes and new figures of one second, at ten turns a second. */
    void second(int figures) {
        for (int turn = 0; turn < TURNS_A_SECOND; turn++) {
            now += Ticks.SECOND / TURNS_A_SECOND;
            List<MemberState> claims = new ArrayList<>();
            for (int i = 0; i < figures / TURNS_A_SECOND; i++) {
                int member = 1 + random.nextInt(fleet.size() - 1);
                long counter = counters.merge(SampleFleet.id(member), 1L, Long::sum) + 1;
                claims.add(fleet.claim(member, counter));
            }
            hear(claims);
            machine.fireTimers(now);
            while (!answers.isEmpty()) {
                machine.handle(now, new MembershipEvent.PacketReceived(answers.poll()));
            }
        }
    }

    private void hear(List<MemberState> claims) {
        machine.handle(
                now, new MembershipEvent.PacketReceived(from(1, new Message.Gossip(claims))));
    }

    private Packet from(int member, Message message) {
        return new Packet(
                SampleFleet.id(member),
                fleet.claim(member).endpoint(),
                new Incarnation(1, 0),
                machine.packet(message).viewDigest(),
                message);
    }

    /** Another member compares views, of which every part differs but for chance. */
    void compareAll() {
        List<Long> parts =
                new ArrayList<>(Collections.nCopies(DIGEST_PARTS, SplitMix64.mix(callers)));
        machine.handle(
                now,
                new MembershipEvent.CallReceived(++callers, from(1, new Message.Digest(parts))));
    }

    MembershipView view() {
        return machine.view();
    }

    @Override
    public void send(Endpoint to, Packet packet) {
        if (packet.message() instanceof Message.Ping ping) {
            int member = Integer.parseInt(ping.target().name().substring("proxy-".length()));
            answers.add(from(member, new Message.Ack(ping.sequence(), List.of())));
        }
    }

    @Override
    public void call(long number, Endpoint to, Packet packet) {
        // Comparisons that this member begins get no answer; they are measured from the other side.
    }

    @Override
    public void answer(long caller, Packet packet) {
        // The answer would go to the wire.
    }

    @Override
    public void memberChanged(MemberState before, MemberState after, StatusChangeReason why) {
        // Only the carrier acts on it.
    }

    @Override
    public void log(String line) {
        throw new IllegalStateException(line);
    }
}

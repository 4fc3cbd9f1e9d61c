package cairnbridge.scale.control;

import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.member.Incarnation;
import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.member.MemberMetrics;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.Message;
import cairnbridge.fleet.member.Packet;
import cairnbridge.fleet.membership.MembershipEvent;
import cairnbridge.fleet.membership.MembershipHost;
import cairnbridge.fleet.membership.MembershipView;
import cairnbridge.fleet.membership.SwimProtocol;
import cairnbridge.fleet.membership.SwimSettings;
import cairnbridge.time.Ticks;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;

/**
 * One member's state machine that knows a settled fleet, without a net: every ping is answered at
 * once, so that nobody falls suspect.
 */
final class SyntheticView implements MembershipHost {
    /** Places are numbered by two bytes of an address. */
    static final int MOST_MEMBERS = 60_000;

    private static final int PORT = 7946;
    private static final int BYTE = 256;
    private static final int PARTS = 256;
    private static final int LOAD = 100;
    private static final int LOAD_LIMIT = 6_000;
    private static final long SEED = 1;
    private static final long LIFE = 1;

    private final List<MemberState> claims;
    private final SwimProtocol machine;
    private final List<Packet> answers = new ArrayList<>();
    private long now;
    private long lastCall;
    private long packets;
    private int sender;

    /** Knows so many members, itself among them. */
    SyntheticView(int members) {
        claims = IntStream.range(0, members).mapToObj(SyntheticView::claim).toList();
        MemberState self = claims.get(0);
        machine =
                new SwimProtocol(
                        SwimSettings.DEFAULT,
                        self,
                        SwimProtocol.Contacts.seeds(List.of(claims.get(1).endpoint())),
                        SEED,
                        0,
                        this);
        machine.start(0);
        machine.handle(0, new MembershipEvent.CallCompleted(lastCall, entriesOf(claims)));
    }

    private static MemberState claim(int number) {
        MemberIdentity identity = MemberIdentity.of(number);
        Endpoint at = new Endpoint("10.0." + number / BYTE + "." + number % BYTE, PORT);
        MemberMetrics metrics =
                new MemberMetrics(
                        new MemberMetrics.Load(LOAD, LOAD_LIMIT, LOAD),
                        new MemberMetrics.EndpointListStatus(1, false),
                        MemberMetrics.Reachability.ALL);
        MemberMetadata metadata =
                MemberMetadata.builder()
                        .location(identity.zone(), identity.region())
                        .protocolVersion(2)
                        .metrics(metrics)
                        .build();
        return MemberState.initial(identity.id(), at, LIFE, metadata);
    }

    private Packet entriesOf(List<MemberState> entries) {
        return packetFrom(1, new Message.StateTransfer(List.of(), entries));
    }

    private Packet packetFrom(int member, Message body) {
        MemberState from = claims.get(member);
        return new Packet(from.id(), from.endpoint(), from.incarnation(), 0, body);
    }

    SwimProtocol machine() {
        return machine;
    }

    MembershipView view() {
        return machine.view();
    }

    /** Lets a tenth of a second pass: what is due is done. How many packets went out so far. */
    long turn(long ignored) {
        now += Ticks.SECOND / 10;
        while (machine.nextTimer() <= now) {
            machine.fireTimers(machine.nextTimer());
            deliverAnswers();
        }
        return packets;
    }

    private void deliverAnswers() {
        List<Packet> due = List.copyOf(answers);
        answers.clear();
        due.forEach(packet -> machine.handle(now, new MembershipEvent.PacketReceived(packet)));
    }

    /** A datagram without news is heard from each member in turn. */
    long datagram(long ignored) {
        sender = sender % (claims.size() - 1) + 1;
        machine.handle(
                now,
                new MembershipEvent.PacketReceived(
                        packetFrom(sender, new Message.Gossip(List.of()))));
        return packets;
    }

    /** A member that holds a wholly different view compares it with this one. */
    long comparison(long ignored) {
        Message digest = new Message.Digest(Collections.nCopies(PARTS, 0L));
        machine.handle(now, new MembershipEvent.CallReceived(1, packetFrom(1, digest)));
        return packets;
    }

    @Override
    public void send(Endpoint to, Packet packet) {
        packets++;
        if (packet.message() instanceof Message.Ping ping) {
            answers.add(
                    new Packet(
                            ping.target(),
                            to,
                            new Incarnation(LIFE, 0),
                            0,
                            new Message.Ack(ping.sequence(), List.of())));
        }
    }

    @Override
    public void call(long number, Endpoint to, Packet packet) {
        packets++;
        lastCall = number;
    }

    @Override
    public void answer(long caller, Packet packet) {
        packets += packet.message().updates().size();
    }

    @Override
    public void memberChanged(MemberState before, MemberState after, StatusChangeReason why) {
        // The view is looked at instead.
    }

    @Override
    public void log(String line) {
        // Nobody reads it.
    }
}

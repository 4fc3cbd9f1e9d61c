package cairnbridge.fleet.membership;

import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.member.Incarnation;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import cairnbridge.fleet.member.Message;
import cairnbridge.fleet.member.Packet;
import cairnbridge.time.Ticks;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds out which members answer: pings one after another, and has other members ping those that do
 * not answer.
 */
final class FailureDetector {
    /** A member is told at most this often what is said about it. */
    static final long MIN_NOTIFY_INTERVAL = Ticks.SECOND / 2;

    /** A challenge carries this many updates beside the statement. */
    private static final int UPDATES_WITH_CHALLENGE = 4;

    /** A ping under way: the target answers in time, by any route, or becomes suspect. */
    private static final class Probe {
        final MemberId target;
        final Incarnation incarnation;
        int pingRequestsSent;
        int nacks;

        Probe(MemberRecord target) {
            this.target = target.id;
            this.incarnation = target.state.incarnation();
        }

        /**
         * What the end of an unanswered probe says about this member's own health: if the members
         * that were asked are silent as well, it is this one that hears badly; if all of them
         * answered, it is not.
         */
        int healthAdjustment() {
            if (nacks == 0) {
                return 1;
            }
            return nacks == pingRequestsSent ? -1 : 0;
        }
    }

    /** A ping on behalf of another member. */
    private record RelayedProbe(long requestSequence, Endpoint requester, MemberId target) {}

    private final SwimContext context;
    private final ProbeSchedule schedule;
    private final Map<Long, Probe> probes = new HashMap<>();
    private final Map<Long, RelayedProbe> relayedProbes = new HashMap<>();

    /** Pings over a stream, by the id of the call. */
    private final Map<Long, Probe> streamProbes = new HashMap<>();

    private SuspicionTracker suspicions;
    private long lastSequence;

    FailureDetector(SwimContext context) {
        this.context = context;
        schedule = new ProbeSchedule(context);
    }

    /** Connects the two parts that need one another; before the start. */
    void setSuspicionTracker(SuspicionTracker tracker) {
        suspicions = tracker;
    }

    void start() {
        context.schedule(context.randomDelay(context.settings.probeInterval()), this::probeNext);
        context.schedule(
                context.randomDelay(context.settings.deadProbeInterval()), this::probeDead);
    }

    void memberJoined(MemberRecord member) {
        schedule.add(member);
    }

    /** Guards against suspicions by one that could not have heard an answer. */
    void abandonProbes() {
        probes.clear();
        streamProbes.clear();
        relayedProbes.clear();
    }

    private void probeNext() {
        context.schedule(
                suspicions.probeInterval() * context.localHealth.multiplier(), this::probeNext);
        if (!context.self.hasLeft()) {
            schedule.next().ifPresent(target -> probe(target, context.updatesFor(target)));
        }
    }

    /** Probes a member out of turn unless that was done lately, and tells it what is said of it. */
    void challengeIfDue(MemberRecord target, MemberState statement) {
        if (target.mayNotify(context.now(), MIN_NOTIFY_INTERVAL)) {
            context.counters.challenges++;
            challenge(target, statement.withoutMetadata());
        }
    }

    /** Probes a member out of turn, and tells it what is said of it. */
    void challenge(MemberRecord target, MemberState statement) {
        List<MemberState> updates = new ArrayList<>();
        updates.add(statement);
        context.pendingUpdates().stream().limit(UPDATES_WITH_CHALLENGE).forEach(updates::add);
        probe(target, updates);
    }

    private void probe(MemberRecord target, List<MemberState> updates) {
        long sequence = ++lastSequence;
        Probe probe = new Probe(target);
        probes.put(sequence, probe);
        context.host.send(
                target.state.endpoint(),
                context.packet(new Message.Ping(sequence, target.id, updates)));
        long multiplier = context.localHealth.multiplier();
        context.schedule(
                context.settings.probeTimeout() * multiplier,
                () -> probeIndirectly(sequence, probe));
        context.schedule(
                context.settings.probeInterval() * multiplier, () -> endProbe(sequence, probe));
    }

    /**
     * Asks other members to ping, and tries a stream: guards against deaths by datagrams that get
     * lost on one route.
     */
    private void probeIndirectly(long sequence, Probe probe) {
        MemberRecord target = context.table.get(probe.target);
        if (probes.get(sequence) != probe || target == null) {
            return;
        }
        Endpoint endpoint = target.state.endpoint();
        for (MemberRecord relay : relaysFor(target)) {
            probe.pingRequestsSent++;
            context.host.send(
                    relay.state.endpoint(),
                    context.packet(
                            new Message.PingRequest(
                                    sequence, probe.target, endpoint, context.updatesFor(relay))));
        }
        long callId = ++lastSequence;
        streamProbes.put(callId, probe);
        List<MemberState> statement =
                target.state.status() == MemberStatus.ALIVE
                        ? List.of()
                        : List.of(target.state.withoutMetadata());
        context.host.call(
                callId,
                endpoint,
                context.packet(new Message.Ping(sequence, probe.target, statement)));
    }

    /**
     * The members that were heard last. Guards against a member that asks those who are cut off
     * together with the target, and takes their silence for its own bad reception: a cut would then
     * be found ever more slowly.
     */
    private List<MemberRecord> relaysFor(MemberRecord target) {
        Comparator<MemberRecord> lastHeardFirst =
                Comparator.comparingLong((MemberRecord member) -> member.lastHeardAt).reversed();
        return context.table.live().stream()
                .filter(member -> member != target)
                .sorted(lastHeardFirst.thenComparing(member -> member.id))
                .limit(context.settings.indirectProbes())
                .toList();
    }

    private void endProbe(long sequence, Probe probe) {
        if (!probes.remove(sequence, probe)) {
            return;
        }
        context.localHealth.adjust(probe.healthAdjustment());
        MemberRecord target = context.table.get(probe.target);
        if (target != null
                && target.isLive()
                && target.state.incarnation().equals(probe.incarnation)) {
            suspicions.suspect(
                    target, target.state.withStatus(MemberStatus.SUSPECT, context.self.id()));
        }
    }

    /** Handles the messages that belong to probes. */
    void messageReceived(MemberRecord sender, Packet packet) {
        Message message = packet.message();
        if (message instanceof Message.Ping ping) {
            answer(ping, sender, packet.endpoint());
        } else if (message instanceof Message.PingRequest request) {
            relay(request, packet.endpoint());
        } else if (message instanceof Message.Ack ack) {
            ackReceived(ack.sequence(), sender.id);
        } else if (message instanceof Message.Nack nack) {
            Probe probe = probes.get(nack.sequence());
            if (probe != null) {
                probe.nacks++;
            }
        }
    }

    private void answer(Message.Ping ping, MemberRecord sender, Endpoint endpoint) {
        if (ping.target().equals(context.self.id()) && !context.self.hasLeft()) {
            List<MemberState> updates = context.updatesFor(sender);
            context.host.send(endpoint, context.packet(new Message.Ack(ping.sequence(), updates)));
        }
    }

    private void relay(Message.PingRequest request, Endpoint requester) {
        long sequence = ++lastSequence;
        relayedProbes.put(
                sequence, new RelayedProbe(request.sequence(), requester, request.target()));
        MemberRecord target = context.table.get(request.target());
        context.host.send(
                request.targetEndpoint(),
                context.packet(
                        new Message.Ping(sequence, request.target(), context.updatesFor(target))));
        // Before the requester's own time is up, which is two and a half times this.
        context.schedule(
                context.settings.probeTimeout(),
                () -> {
                    if (relayedProbes.remove(sequence) != null) {
                        Message nack = new Message.Nack(request.sequence(), List.of());
                        context.host.send(requester, context.packet(nack));
                    }
                });
    }

    /** The sender is the target itself, or a member that was asked and passes the answer on. */
    private void ackReceived(long sequence, MemberId sender) {
        RelayedProbe relayed = relayedProbes.get(sequence);
        if (relayed != null && relayed.target.equals(sender)) {
            relayedProbes.remove(sequence);
            Message ack = new Message.Ack(relayed.requestSequence, List.of());
            context.host.send(relayed.requester, context.packet(ack));
        } else if (probes.remove(sequence) != null) {
            context.localHealth.adjust(-1);
        }
    }

    /** Handles the end of a call; those that are no probes change nothing. */
    void callCompleted(long callId, Packet answer) {
        Probe probe = streamProbes.remove(callId);
        if (probe != null
                && answer != null
                && answer.sender().equals(probe.target)
                && answer.message() instanceof Message.Ack ack) {
            probes.remove(ack.sequence(), probe);
        }
    }

    /**
     * Guards against two halves of a fleet that hold each other dead for ever once they can reach
     * each other again.
     */
    private void probeDead() {
        context.schedule(context.settings.deadProbeInterval(), this::probeDead);
        List<MemberRecord> dead = context.table.dead();
        if (!dead.isEmpty() && !context.self.hasLeft()) {
            pingWithStatus(dead.get(context.random.nextInt(dead.size())));
        }
    }

    /**
     * Tells a member what is said of it. Its answer carries its own statement; nothing happens if
     * there is none.
     */
    void pingWithStatus(MemberRecord member) {
        List<MemberState> statement = List.of(member.state.withoutMetadata());
        context.host.send(
                member.state.endpoint(),
                context.packet(new Message.Ping(++lastSequence, member.id, statement)));
    }
}

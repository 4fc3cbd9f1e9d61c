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
 * SWIM failure detection: pings one member after another, and asks other members to ping those that
 * do not answer.
 */
final class FailureDetector {
    /** Minimum time between two notifications of a member about its recorded status. */
    static final long MIN_NOTIFY_INTERVAL = Ticks.SECOND / 2;

    /**
     * Number of pending updates that a challenge carries besides the statement about its target.
     */
    private static final int UPDATES_WITH_CHALLENGE = 4;

    /**
     * A pending probe. Its target becomes suspect unless an ack arrives in time, directly, through
     * a relay or over a stream.
     */
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
         * The change of the local health score after an unanswered probe. Without any nack, the
         * relays are silent as well, so this member's own reception is probably bad. With a nack
         * from every relay, its reception is good.
         */
        int healthAdjustment() {
            if (nacks == 0) {
                return 1;
            }
            return nacks == pingRequestsSent ? -1 : 0;
        }
    }

    /** A ping sent on behalf of another member. */
    private record RelayedProbe(long requestSequence, Endpoint requester, MemberId target) {}

    private final SwimContext context;
    private final ProbeSchedule schedule;
    private final Map<Long, Probe> probes = new HashMap<>();
    private final Map<Long, RelayedProbe> relayedProbes = new HashMap<>();

    /** Pending pings over a stream, by call id. */
    private final Map<Long, Probe> streamProbes = new HashMap<>();

    private SuspicionTracker suspicions;
    private long lastSequence;

    FailureDetector(SwimContext context) {
        this.context = context;
        schedule = new ProbeSchedule(context);
    }

    /**
     * Sets the suspicion tracker. Called once before {@link #start}, because the two components
     * refer to each other.
     */
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

    /**
     * Drops all pending probes. Guards against suspicions by a process that was paused and could
     * not receive the answers.
     */
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

    /**
     * Probes a member outside the schedule with a statement for it to refute, at most once per
     * {@link #MIN_NOTIFY_INTERVAL}.
     */
    void challengeIfDue(MemberRecord target, MemberState statement) {
        if (target.mayNotify(context.now(), MIN_NOTIFY_INTERVAL)) {
            context.counters.challenges++;
            challenge(target, statement.withoutMetadata());
        }
    }

    /** Probes a member outside the schedule with a statement for it to refute. */
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
     * Asks other members to ping the target, and pings it over a stream. Guards against false
     * deaths when datagrams are lost on one route.
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
     * Returns the members heard from most recently. Guards against relays that are cut off together
     * with the target: their silence would count as bad local reception and lengthen the probe
     * interval, so that this member would detect a partition more and more slowly.
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

    /** Handles pings, ping requests, acks and nacks. */
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
        // The nack must reach the requester before its probe ends, after two and a half times this
        // timeout.
        context.schedule(
                context.settings.probeTimeout(),
                () -> {
                    if (relayedProbes.remove(sequence) != null) {
                        Message nack = new Message.Nack(request.sequence(), List.of());
                        context.host.send(requester, context.packet(nack));
                    }
                });
    }

    /** Handles an ack, sent by the target itself or by a relay that forwards it. */
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

    /** Handles the end of a call; ignores calls that are not probes. */
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
     * Pings a random dead member. Guards against two partitions that consider each other dead
     * forever after the network heals.
     */
    private void probeDead() {
        context.schedule(context.settings.deadProbeInterval(), this::probeDead);
        List<MemberRecord> dead = context.table.dead();
        if (!dead.isEmpty() && !context.self.hasLeft()) {
            pingWithStatus(dead.get(context.random.nextInt(dead.size())));
        }
    }

    /**
     * Pings a member with its recorded status, so that it can refute it in its answer. A missing
     * answer has no effect.
     */
    void pingWithStatus(MemberRecord member) {
        List<MemberState> statement = List.of(member.state.withoutMetadata());
        context.host.send(
                member.state.endpoint(),
                context.packet(new Message.Ping(++lastSequence, member.id, statement)));
    }
}

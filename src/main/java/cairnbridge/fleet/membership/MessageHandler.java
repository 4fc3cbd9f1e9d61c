package cairnbridge.fleet.membership;

import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import cairnbridge.fleet.member.Message;
import cairnbridge.fleet.member.Packet;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Handles messages and calls from other members. */
final class MessageHandler {
    private final SwimContext context;
    private final MemberUpdates updates;
    private final FailureDetector failureDetector;
    private final AntiEntropy antiEntropy;

    MessageHandler(
            SwimContext context,
            MemberUpdates updates,
            FailureDetector failureDetector,
            AntiEntropy antiEntropy) {
        this.context = context;
        this.updates = updates;
        this.failureDetector = failureDetector;
        this.antiEntropy = antiEntropy;
    }

    /** Handles a datagram. */
    void packetReceived(Packet packet) {
        Optional<MemberRecord> sender = identifySender(packet);
        if (sender.isEmpty()) {
            // The packet is this member's own or comes from an earlier run of the sender, or the
            // table is full of live members.
            context.counters.discardedMessages++;
            return;
        }
        List<MemberState> statements = packet.message().updates();
        List<MemberState> corrections = correctionsOf(statements);
        updates.applyAll(statements, MemberUpdates.Source.GOSSIP);
        if (!corrections.isEmpty()) {
            sendGossip(packet.endpoint(), corrections);
        }
        failureDetector.messageReceived(sender.get(), packet);
        antiEntropy.digestReceived(sender.get(), packet.viewDigest());
    }

    /**
     * Returns the recorded states of members that are dead or have left, where the sender still
     * reports them as live. Guards against a view that missed one update and so takes a leave for a
     * crash, or misses a death for a long time.
     */
    private List<MemberState> correctionsOf(List<MemberState> statements) {
        List<MemberState> corrections = new ArrayList<>();
        for (MemberState statement : statements) {
            MemberRecord member = context.table.get(statement.id());
            if (member != null
                    && !member.isLive()
                    && member.state.supersedes(statement)
                    && mayNotify(member)) {
                corrections.add(member.state.withoutMetadata());
            }
        }
        return corrections;
    }

    /**
     * Applies the sender's own state from a packet and returns the sender's record; empty if the
     * packet is this member's own or comes from an earlier run of the sender, or if the table is
     * full.
     */
    private Optional<MemberRecord> identifySender(Packet packet) {
        if (packet.sender().equals(context.self.id())) {
            return Optional.empty();
        }
        MemberState statement =
                MemberState.alive(packet.sender(), packet.endpoint(), packet.incarnation());
        MemberRecord known = context.table.get(packet.sender());
        if (known == null) {
            Optional<MemberRecord> admitted = updates.admit(statement);
            admitted.ifPresent(member -> recordHeard(member, packet.endpoint()));
            return admitted;
        }
        if (packet.incarnation().compareTo(known.state.incarnation()) > 0) {
            updates.applyAlive(known, statement, MemberUpdates.Source.MEMBER);
        }
        if (packet.incarnation().generation() < known.state.incarnation().generation()) {
            notify(known, packet.endpoint());
            return Optional.empty();
        }
        recordHeard(known, packet.endpoint());
        return Optional.of(known);
    }

    private void recordHeard(MemberRecord member, Endpoint endpoint) {
        member.lastHeardAt = context.now();
        if (member.state.status() == MemberStatus.DEAD) {
            notify(member, endpoint);
        }
    }

    /**
     * Sends a member its recorded status. Guards against a member that is running, or has
     * restarted, and never learns that others consider it dead.
     */
    private void notify(MemberRecord member, Endpoint endpoint) {
        if (mayNotify(member)) {
            sendGossip(endpoint, List.of(member.state.withoutMetadata()));
        }
    }

    private boolean mayNotify(MemberRecord member) {
        return member.mayNotify(context.now(), FailureDetector.MIN_NOTIFY_INTERVAL);
    }

    private void sendGossip(Endpoint endpoint, List<MemberState> statements) {
        context.host.send(endpoint, context.packet(new Message.Gossip(statements)));
    }

    /** Applies the sender's own state from the answer to a call. */
    void identifyAnswerer(Packet answer) {
        identifySender(answer);
    }

    /** Handles a call over a stream and always answers it. */
    void callReceived(MembershipEvent.CallReceived call) {
        identifySender(call.packet());
        Message answer =
                answerTo(call.packet())
                        .orElseGet(
                                () -> {
                                    context.counters.discardedMessages++;
                                    return new Message.Gossip(List.of());
                                });
        context.host.answer(call.callId(), context.packet(answer));
    }

    private Optional<Message> answerTo(Packet packet) {
        Message message = packet.message();
        if (message instanceof Message.Digest digest) {
            return antiEntropy.compare(digest, context.table.get(packet.sender()));
        }
        if (message instanceof Message.StateTransfer transfer) {
            updates.applyAll(transfer.updates(), MemberUpdates.Source.STATE_TRANSFER);
            return Optional.of(new Message.Ack(0, List.of()));
        }
        if (message instanceof Message.Ping ping && ping.target().equals(context.self.id())) {
            updates.applyAll(ping.updates(), MemberUpdates.Source.GOSSIP);
            return Optional.of(new Message.Ack(ping.sequence(), List.of()));
        }
        return Optional.empty();
    }
}

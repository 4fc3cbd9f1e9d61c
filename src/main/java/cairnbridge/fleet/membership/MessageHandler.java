package cairnbridge.fleet.membership;

import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import cairnbridge.fleet.member.Message;
import cairnbridge.fleet.member.Packet;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Handles the messages and calls of other members. */
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
            // Its own message, one of an earlier run, or the table is full of live members.
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
     * What is known here of members that are gone, where another still passes on that they live.
     * Guards against a leave that is taken for a crash, or a death unknown for long, by a view that
     * one update has missed.
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
     * Applies what the sender of a packet states about itself; empty if the packet is this member's
     * own, is of an earlier run of the sender, or finds no room in the table.
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
            admitted.ifPresent(member -> heard(member, packet.endpoint()));
            return admitted;
        }
        if (packet.incarnation().compareTo(known.state.incarnation()) > 0) {
            updates.applyAlive(known, statement, MemberUpdates.Source.MEMBER);
        }
        if (packet.incarnation().generation() < known.state.incarnation().generation()) {
            notify(known, packet.endpoint());
            return Optional.empty();
        }
        heard(known, packet.endpoint());
        return Optional.of(known);
    }

    private void heard(MemberRecord member, Endpoint endpoint) {
        member.lastHeardAt = context.now();
        if (member.state.status() == MemberStatus.DEAD) {
            notify(member, endpoint);
        }
    }

    /** Guards against a member that runs, or runs anew, and never hears that it is held dead. */
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

    /** Applies what the member that answered a call states about itself. */
    void identifyAnswerer(Packet answer) {
        identifySender(answer);
    }

    /** Handles a call over a stream, which is answered in any case. */
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

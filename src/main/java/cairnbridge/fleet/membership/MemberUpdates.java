package cairnbridge.fleet.membership;

import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import cairnbridge.fleet.membership.MembershipHost.StatusChangeReason;
import java.util.List;
import java.util.Optional;

/** Applies statements about members to the table, and queues those that change it for gossip. */
final class MemberUpdates {
    private final SwimContext context;
    private final SuspicionTracker suspicions;
    private final FailureDetector failureDetector;
    private final AntiEntropy antiEntropy;

    MemberUpdates(
            SwimContext context,
            SuspicionTracker suspicions,
            FailureDetector failureDetector,
            AntiEntropy antiEntropy) {
        this.context = context;
        this.suspicions = suspicions;
        this.failureDetector = failureDetector;
        this.antiEntropy = antiEntropy;
    }

    /** How a statement was received. */
    enum Source {
        /** From the member itself. */
        MEMBER,
        /** In a message with recent updates. */
        GOSSIP,
        /** In another member's whole view, which may be outdated. */
        STATE_TRANSFER
    }

    /** Applies statements received from another member. */
    void applyAll(List<MemberState> statements, Source source) {
        for (MemberState statement : statements) {
            if (statement.id().equals(context.self.id())) {
                context.self.refute(statement);
                continue;
            }
            MemberRecord member = context.table.get(statement.id());
            if (member == null) {
                admit(statement);
            } else {
                apply(member, statement, source);
            }
        }
    }

    private void apply(MemberRecord member, MemberState statement, Source source) {
        int order = statement.incarnation().compareTo(member.state.incarnation());
        boolean sameRun = statement.incarnation().isSameGeneration(member.state.incarnation());
        switch (statement.status()) {
            case ALIVE -> {
                if (order > 0) {
                    applyAlive(member, statement, Source.GOSSIP);
                }
            }
            case SUSPECT -> applySuspect(member, statement, order);
            case DEAD -> applyDead(member, statement, order, source);
            case LEFT -> {
                if (order >= 0 && member.state.status() != MemberStatus.LEFT) {
                    applyLeft(member, statement);
                }
            }
            default -> throw new IllegalStateException("status " + statement.status());
        }
        if (sameRun && member.isLive() && statement.hasNewerMetadataThan(member.state)) {
            applyMetadata(member, statement);
        }
    }

    private void applySuspect(MemberRecord member, MemberState statement, int order) {
        if (order > 0) {
            MemberState alive = statement.withStatus(MemberStatus.ALIVE, null);
            applyAlive(member, alive, Source.GOSSIP);
        }
        if (order >= 0 && member.isLive()) {
            suspicions.suspect(member, statement);
        }
    }

    private void applyDead(MemberRecord member, MemberState statement, int order, Source source) {
        if (order >= 0 && member.isLive()) {
            // Guards against false deaths reported by members that were cut off: if the report is
            // doubtful, the member is challenged instead of declared dead.
            if (isDoubtful(member, statement, source)) {
                failureDetector.challengeIfDue(member, statement);
            } else {
                suspicions.declareDead(member, statement, StatusChangeReason.GOSSIP);
            }
        } else if (order > 0 && member.state.status() == MemberStatus.DEAD) {
            suspicions.declareDead(member, statement, StatusChangeReason.GOSSIP);
        }
    }

    private boolean isDoubtful(MemberRecord member, MemberState statement, Source source) {
        boolean sameRun = statement.incarnation().isSameGeneration(member.state.incarnation());
        boolean heardLately = context.now() - member.lastHeardAt < suspicions.minTimeout() / 2;
        return sameRun && (source == Source.STATE_TRANSFER || heardLately);
    }

    private void applyLeft(MemberRecord member, MemberState statement) {
        MemberState before = member.state;
        MemberState after =
                before.withStatus(statement.incarnation(), MemberStatus.LEFT, null)
                        .withMetadata(0, null);
        member.clearSuspicion();
        context.table.update(member, after, context.now());
        context.gossipQueue.addStatus(after);
        context.counters.leaves++;
        context.markStatusChanged();
        context.host.memberChanged(before, after, StatusChangeReason.LEFT);
    }

    private void applyMetadata(MemberRecord member, MemberState statement) {
        MemberState after =
                member.state.withMetadata(statement.metadataVersion(), statement.metadata());
        context.table.update(member, after, context.now());
        context.gossipQueue.addMetadata(after);
        context.host.memberChanged(after, after, StatusChangeReason.GOSSIP);
    }

    /** Adds an unknown member; empty if it is not added. */
    Optional<MemberRecord> admit(MemberState statement) {
        boolean deadOrLeft = !statement.status().isLive();
        // Guards against gossip that reintroduces dead members forever, because members forget them
        // at different times.
        if (deadOrLeft && antiEntropy.uptime() > context.settings.deadRetention() / 2) {
            return Optional.empty();
        }
        boolean suspect = statement.status() == MemberStatus.SUSPECT;
        MemberState first = suspect ? statement.withStatus(MemberStatus.ALIVE, null) : statement;
        Optional<MemberRecord> added = context.table.add(first, context.now());
        if (added.isEmpty()) {
            context.counters.discardedMessages++;
            return added;
        }
        if (!deadOrLeft) {
            memberJoined(added.get());
        }
        if (suspect) {
            suspicions.suspect(added.get(), statement);
        }
        return added;
    }

    private void memberJoined(MemberRecord member) {
        context.counters.joins++;
        context.markStatusChanged();
        failureDetector.memberJoined(member);
        if (antiEntropy.hasJoined()) {
            // Members discovered while joining are known to the other members and need no gossip.
            context.gossipQueue.addStatus(member.state);
        }
        context.host.memberChanged(null, member.state, StatusChangeReason.JOINED);
    }

    /**
     * Applies a newer statement that a member is alive, which overrides its recorded status and any
     * suspicion.
     */
    void applyAlive(MemberRecord member, MemberState statement, Source source) {
        MemberState before = member.state;
        boolean sameRun = statement.incarnation().isSameGeneration(before.incarnation());
        MemberState after = aliveState(before, statement);
        member.clearSuspicion();
        if (!sameRun) {
            member.clearLastHeard();
            if (source == Source.MEMBER) {
                member.lastHeardAt = context.now();
            }
        }
        context.table.update(member, after, context.now());
        context.gossipQueue.addStatus(after);
        if (!before.status().isLive()) {
            memberReturned(member, before, sameRun);
        } else if (!sameRun || before.status() != MemberStatus.ALIVE) {
            context.markStatusChanged();
            context.host.memberChanged(
                    before,
                    after,
                    sameRun ? StatusChangeReason.REFUTED : StatusChangeReason.RESTARTED);
        }
    }

    /**
     * Builds the state after a statement that a member is alive. Metadata outlasts refutations, but
     * not a restart of the process.
     */
    private static MemberState aliveState(MemberState before, MemberState statement) {
        boolean sameRun = statement.incarnation().isSameGeneration(before.incarnation());
        boolean newMetadata =
                statement.metadata() != null
                        && (!sameRun || statement.metadataVersion() >= before.metadataVersion());
        MemberState alive = statement.withStatus(MemberStatus.ALIVE, null);
        if (newMetadata) {
            return alive;
        }
        return sameRun
                ? alive.withMetadata(before.metadataVersion(), before.metadata())
                : alive.withMetadata(0, null);
    }

    private void memberReturned(MemberRecord member, MemberState before, boolean sameRun) {
        context.markStatusChanged();
        failureDetector.memberJoined(member);
        if (!sameRun) {
            context.counters.joins++;
        } else if (before.status() == MemberStatus.DEAD) {
            context.counters.returns++;
        }
        context.host.memberChanged(
                before,
                member.state,
                sameRun ? StatusChangeReason.RETURNED : StatusChangeReason.RESTARTED);
        antiEntropy.compareSoon(member);
    }
}

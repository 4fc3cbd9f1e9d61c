package cairnbridge.fleet.membership;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import cairnbridge.hash.SplitMix64;

/**
 * Hashes by which members compare their views. The hash of a set of members is the exclusive or of
 * the members' hashes. All members must compute the same hashes, which are part of the protocol.
 */
final class MemberDigest {
    /** Number of partitions of a view; only partitions that differ are exchanged. */
    static final int PARTITIONS = 256;

    private MemberDigest() {}

    /** The partition that a member belongs to. */
    static int partitionOf(MemberId id) {
        return (int) (SplitMix64.mix(id.name().hashCode()) & PARTITIONS - 1);
    }

    /** Hash of a member's name, incarnation and status. */
    static long of(MemberState state) {
        long incarnation = SplitMix64.mix(identity(state) + state.incarnation().refutation());
        return SplitMix64.mix(incarnation + status(state));
    }

    /** Like {@link #of}, but includes the metadata version, which changes often. */
    static long withMetadataVersion(MemberState state) {
        long versioned = SplitMix64.mix(identity(state) + state.metadataVersion());
        long incarnation = SplitMix64.mix(versioned + state.incarnation().refutation());
        return SplitMix64.mix(incarnation + status(state));
    }

    private static long identity(MemberState state) {
        long name = SplitMix64.mix(state.id().name().hashCode());
        return SplitMix64.mix(name + state.incarnation().generation());
    }

    /** A suspect member hashes like one that is alive, because suspicions are short. */
    private static long status(MemberState state) {
        return state.status() == MemberStatus.SUSPECT ? 0 : state.status().ordinal();
    }
}

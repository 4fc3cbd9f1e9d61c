package cairnbridge.fleet.member;

import java.util.Optional;

/**
 * The known state of one member, as a view contains it and messages carry it. Instances are
 * immutable, so that many views can share one.
 *
 * @param id the member
 * @param endpoint the endpoint at which it is reached
 * @param incarnation the incarnation that the status is about
 * @param status the status of the member
 * @param reportedBy the member that reported it suspect or dead; null if none did
 * @param metadataVersion how often the member has changed its metadata in this generation
 * @param metadata what the member announces about itself; null if it is not known or not sent
 */
public record MemberState(
        MemberId id,
        Endpoint endpoint,
        Incarnation incarnation,
        MemberStatus status,
        MemberId reportedBy,
        long metadataVersion,
        MemberMetadata metadata) {
    /** The most bytes that all fields of fixed size take. */
    private static final int FIXED_BYTES = 35;

    /** The most bytes that the CBOR header of a text takes. */
    private static final int TEXT_HEADER_BYTES = 2;

    /** The most bytes that the CBOR header of a byte string takes. */
    private static final int BLOB_HEADER_BYTES = 3;

    /** The bytes of an absent value. */
    private static final int ABSENT_BYTES = 1;

    /** A member that has announced itself alive, without metadata. */
    public static MemberState alive(MemberId id, Endpoint endpoint, Incarnation incarnation) {
        return new MemberState(id, endpoint, incarnation, MemberStatus.ALIVE, null, 0, null);
    }

    /** The state that a member announces of itself at the start of its process. */
    public static MemberState initial(
            MemberId id, Endpoint endpoint, long generation, MemberMetadata metadata) {
        Incarnation first = new Incarnation(generation, 0);
        return new MemberState(id, endpoint, first, MemberStatus.ALIVE, null, 1, metadata);
    }

    /** Whether this state replaces another one of the same member. */
    public boolean supersedes(MemberState other) {
        int order = incarnation.compareTo(other.incarnation);
        return order > 0 || (order == 0 && status.compareTo(other.status) > 0);
    }

    /** Whether this state carries metadata that is newer than that of another state. */
    public boolean hasNewerMetadataThan(MemberState other) {
        if (metadata == null) {
            return false;
        }
        if (!incarnation.isSameGeneration(other.incarnation)) {
            return incarnation.generation() > other.incarnation.generation();
        }
        return metadataVersion > other.metadataVersion
                || (metadataVersion == other.metadataVersion && other.metadata == null);
    }

    /** The metadata, if it is known. */
    public Optional<MemberMetadata> knownMetadata() {
        return Optional.ofNullable(metadata);
    }

    /** Whether the member has announced this zone. */
    public boolean isInZone(String zone) {
        return metadata != null && metadata.zone().equals(zone);
    }

    /** A copy with another status, reported by a member, or by none if null. */
    public MemberState withStatus(MemberStatus newStatus, MemberId newReportedBy) {
        return withStatus(incarnation, newStatus, newReportedBy);
    }

    /** A copy with a status that is about another incarnation. */
    public MemberState withStatus(
            Incarnation newIncarnation, MemberStatus newStatus, MemberId newReportedBy) {
        return new MemberState(
                id, endpoint, newIncarnation, newStatus, newReportedBy, metadataVersion, metadata);
    }

    /** A copy with newer metadata and the same incarnation and status. */
    public MemberState withMetadata(long newVersion, MemberMetadata newMetadata) {
        return new MemberState(
                id, endpoint, incarnation, status, reportedBy, newVersion, newMetadata);
    }

    /** A copy without metadata, to send only the status. */
    public MemberState withoutMetadata() {
        return metadata == null ? this : withMetadata(0, null);
    }

    /** An upper bound of the bytes that this state takes in an encoded message. */
    public int maxEncodedBytes() {
        int reporterBytes =
                reportedBy == null ? ABSENT_BYTES : reportedBy.name().length() + TEXT_HEADER_BYTES;
        int metadataBytes =
                metadata == null ? ABSENT_BYTES : metadata.encodedLength() + BLOB_HEADER_BYTES;
        return FIXED_BYTES
                + id.name().length()
                + endpoint.host().length()
                + reporterBytes
                + metadataBytes;
    }
}

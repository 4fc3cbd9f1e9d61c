package cairnbridge.fleet.member;

import java.util.Arrays;
import java.util.Objects;

/**
 * What a member announces about itself. It is stored and forwarded as the bytes that the member
 * encoded, so that fields of a newer version reach other newer members through older ones. Fields
 * that are missing or malformed read as their default.
 *
 * <p>Instances are immutable; the bytes are decoded when a field is first read.
 */
public final class MemberMetadata {
    /** Longer metadata is rejected, as a member state has to fit into a datagram. */
    public static final int MAX_BYTES = 800;

    /** The most entries of each list that are announced; further ones are left out. */
    public static final int MAX_UNREACHABLE_NODES = 16;

    public static final int MAX_ZONES = 8;

    /** Longer texts are truncated. */
    public static final int MAX_TEXT_LENGTH = 64;

    /** The operating state of a member. The names are part of the protocol. */
    public enum Lifecycle {
        /** It does not take requests yet. */
        STARTING,
        /** It takes requests. */
        SERVING,
        /** It takes no requests because an operator set it to standby. */
        STANDBY,
        /** It finishes its requests in flight and then exits. */
        DRAINING,
        /** Not announced, or a state of a newer version. */
        UNKNOWN
    }

    private final byte[] encoded;

    /** Decoded on first use; threads that decode at the same time get equal results. */
    private volatile MemberMetadataFields fields;

    private MemberMetadata(byte[] encoded) {
        this.encoded = encoded;
    }

    /**
     * Creates metadata from the bytes received from a member.
     *
     * @throws IllegalArgumentException if it is longer than {@link #MAX_BYTES}
     */
    public static MemberMetadata ofEncoded(byte[] encoded) {
        if (encoded.length > MAX_BYTES) {
            throw new IllegalArgumentException(
                    "metadata of " + encoded.length + " bytes, more than " + MAX_BYTES);
        }
        return new MemberMetadata(encoded.clone());
    }

    /** A builder of metadata to be announced, with a default for each field. */
    public static Builder builder() {
        return new Builder();
    }

    /** The number of encoded bytes. */
    public int encodedLength() {
        return encoded.length;
    }

    /** A copy of the encoded bytes. */
    public byte[] encoded() {
        return encoded.clone();
    }

    /** The member's zone, empty if not announced. */
    public String zone() {
        return fields().zone();
    }

    /** The region of the member's zone, empty if not announced. */
    public String region() {
        return fields().region();
    }

    /** The address at which the member accepts client connections, empty if not announced. */
    public String clientAddress() {
        return fields().clientAddress();
    }

    /** The address of the member's admin endpoint, empty if not announced. */
    public String adminAddress() {
        return fields().adminAddress();
    }

    /** The epoch of the zone plan that is in force at the member, 0 without one. */
    public long planEpoch() {
        return fields().planEpoch();
    }

    /** How far the member has recovered from a power loss. */
    public RecoveryProgress recovery() {
        return fields().recovery();
    }

    /** The newest protocol version that the member speaks, 1 if not announced. */
    public int protocolVersion() {
        return fields().protocolVersion();
    }

    /** The member's operating state. */
    public Lifecycle lifecycle() {
        return fields().lifecycle();
    }

    /** Whether the member has started and is not draining. */
    public boolean isOperational() {
        return lifecycle() == Lifecycle.SERVING || lifecycle() == Lifecycle.STANDBY;
    }

    /** The member's current metrics. */
    public MemberMetrics metrics() {
        return fields().metrics();
    }

    private MemberMetadataFields fields() {
        MemberMetadataFields known = fields;
        if (known == null) {
            known = MemberMetadataCodec.decode(encoded);
            fields = known;
        }
        return known;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof MemberMetadata metadata && Arrays.equals(encoded, metadata.encoded);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(encoded);
    }

    /** Collects the fields of metadata to be announced. */
    public static final class Builder {
        private String zone = "";
        private String region = "";
        private String clientAddress = "";
        private String adminAddress = "";
        private int protocolVersion = 1;
        private Lifecycle lifecycle = Lifecycle.SERVING;
        private long planEpoch;
        private RecoveryProgress recovery = RecoveryProgress.NONE;
        private MemberMetrics metrics = MemberMetrics.NONE;

        private Builder() {}

        /** The member's zone and the region of that zone. */
        public Builder location(String newZone, String newRegion) {
            zone = Objects.requireNonNull(newZone);
            region = Objects.requireNonNull(newRegion);
            return this;
        }

        /** The address at which clients reach the member; empty if there is none. */
        public Builder clientAddress(String address) {
            clientAddress = Objects.requireNonNull(address);
            return this;
        }

        /** The address of the admin endpoint; empty if there is none. */
        public Builder adminAddress(String address) {
            adminAddress = Objects.requireNonNull(address);
            return this;
        }

        /** The newest protocol version that the member speaks. */
        public Builder protocolVersion(int version) {
            protocolVersion = version;
            return this;
        }

        /** The member's operating state. */
        public Builder lifecycle(Lifecycle newLifecycle) {
            lifecycle = Objects.requireNonNull(newLifecycle);
            return this;
        }

        /** The epoch of the zone plan that is in force at the member. */
        public Builder planEpoch(long epoch) {
            planEpoch = epoch;
            return this;
        }

        /** How far the member has recovered from a power loss. */
        public Builder recovery(RecoveryProgress progress) {
            recovery = Objects.requireNonNull(progress);
            return this;
        }

        /** The member's current metrics. */
        public Builder metrics(MemberMetrics newMetrics) {
            metrics = Objects.requireNonNull(newMetrics);
            return this;
        }

        /** Encodes the metadata; texts and lists that are too long are truncated. */
        public MemberMetadata build() {
            MemberMetadataFields fields =
                    new MemberMetadataFields(
                            zone,
                            region,
                            clientAddress,
                            adminAddress,
                            planEpoch,
                            recovery,
                            protocolVersion,
                            lifecycle,
                            metrics);
            return new MemberMetadata(MemberMetadataCodec.encode(fields));
        }
    }
}

package cairnbridge.fleet.member;

/** The decoded fields of {@link MemberMetadata}, which documents them. */
record MemberMetadataFields(
        String zone,
        String region,
        String clientAddress,
        String adminAddress,
        long planEpoch,
        RecoveryProgress recovery,
        int protocolVersion,
        MemberMetadata.Lifecycle lifecycle,
        MemberMetrics metrics) {}

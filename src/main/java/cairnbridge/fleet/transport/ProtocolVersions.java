package cairnbridge.fleet.transport;

import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.member.MemberState;
import java.util.List;

/** Chooses the protocol version that a member uses for its datagrams. */
final class ProtocolVersions {
    private ProtocolVersions() {}

    /**
     * The newest protocol version that all members speak.
     *
     * @param members the members that are alive
     * @param newest the newest version that this member may speak
     */
    static int newestCommon(List<MemberState> members, int newest) {
        if (members.size() < 2) {
            // Other members are not known yet and may support only the oldest version.
            return FrameAuthenticator.OLDEST_VERSION;
        }
        int lowest =
                members.stream()
                        .mapToInt(ProtocolVersions::versionOf)
                        .min()
                        .orElse(FrameAuthenticator.OLDEST_VERSION);
        return Math.max(FrameAuthenticator.OLDEST_VERSION, Math.min(newest, lowest));
    }

    private static int versionOf(MemberState member) {
        return member.knownMetadata()
                .map(MemberMetadata::protocolVersion)
                .orElse(FrameAuthenticator.OLDEST_VERSION);
    }
}

package cairnbridge.fleet.transport;

import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.membership.SwimProtocol;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The settings of a member's transport.
 *
 * @param identity the id and generation of this member
 * @param cluster the name of the cluster and its secret
 * @param address the addresses at which it listens and is reached
 * @param contacts the endpoints that it contacts to join the fleet
 * @param protocolVersion the newest protocol version to speak and to accept
 * @param maxBytesPerSecond the limit of datagram bytes sent per second
 */
public record TransportSettings(
        Identity identity,
        Cluster cluster,
        Address address,
        SwimProtocol.Contacts contacts,
        int protocolVersion,
        long maxBytesPerSecond) {
    /** The newest protocol version that this program speaks. */
    public static final int NEWEST_PROTOCOL_VERSION = FrameAuthenticator.NEWEST_VERSION;

    /**
     * The identity of one run of a member.
     *
     * @param id its name
     * @param generation the number of this run of the process, higher than that of any earlier run;
     *     usually the start time in milliseconds
     */
    public record Identity(MemberId id, long generation) {}

    /**
     * The cluster; frames of other clusters are rejected.
     *
     * @param name its name
     * @param secret the secret of its members, from which and the name the key of the frames is
     *     derived
     */
    public record Cluster(String name, byte[] secret) {}

    /**
     * The addresses of a member and its routes to others.
     *
     * @param bind the address to listen at, over UDP and TCP; port 0 selects any free port
     * @param advertised the endpoint at which others reach this member; empty for the bound one
     * @param routes the endpoints at which this member reaches others, by the endpoint that they
     *     advertise
     */
    public record Address(
            InetSocketAddress bind, Optional<Endpoint> advertised, Map<Endpoint, Endpoint> routes) {
        /** The endpoint to send to for an advertised one. */
        Endpoint routeTo(Endpoint advertisedEndpoint) {
            return routes.getOrDefault(advertisedEndpoint, advertisedEndpoint);
        }
    }

    /**
     * A copy of these settings with this run's generation and the members persisted by an earlier
     * run.
     *
     * @param generation the generation of this run
     * @param remembered endpoints of members known from an earlier run
     */
    public TransportSettings withPersisted(long generation, List<Endpoint> remembered) {
        return new TransportSettings(
                new Identity(identity.id, generation),
                cluster,
                address,
                new SwimProtocol.Contacts(contacts.seeds(), remembered),
                protocolVersion,
                maxBytesPerSecond);
    }
}

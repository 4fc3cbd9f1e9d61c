package cairnbridge.fleet.member;

import java.util.List;

/**
 * The current metrics of a member, as it announces them.
 *
 * @param load how busy it is
 * @param endpointList the state of the endpoint list that it uses
 * @param reachability which nodes and zones it can reach
 */
public record MemberMetrics(Load load, EndpointListStatus endpointList, Reachability reachability) {
    /** The metrics of an idle member without an endpoint list. */
    public static final MemberMetrics NONE =
            new MemberMetrics(Load.NONE, EndpointListStatus.NONE, Reachability.ALL);

    /**
     * How busy a member is.
     *
     * @param requestsInFlight requests accepted and not yet answered
     * @param requestLimit the most requests that it can have in flight
     * @param requestsPerSecond requests accepted per second
     */
    public record Load(long requestsInFlight, long requestLimit, long requestsPerSecond) {
        /** An idle member. */
        public static final Load NONE = new Load(0, 0, 0);
    }

    /**
     * The state of the endpoint list that a member uses.
     *
     * @param version discovery's version of the list, 0 while there is none
     * @param watching whether the member is currently receiving changes from discovery
     */
    public record EndpointListStatus(long version, boolean watching) {
        /** No list. */
        public static final EndpointListStatus NONE = new EndpointListStatus(0, false);
    }

    /**
     * Which nodes and zones a member can reach.
     *
     * @param unreachableNodes ids of nodes that it cannot reach
     * @param zoneOutcomes the recent outcomes of its attempts, by zone
     * @param unreachableZones hashes of the names of zones in which it has recently reached nothing
     */
    public record Reachability(
            List<Long> unreachableNodes,
            List<ZoneOutcome> zoneOutcomes,
            List<Long> unreachableZones) {
        /** Nothing is reported unreachable, and no outcomes are reported. */
        public static final Reachability ALL = new Reachability(List.of(), List.of(), List.of());

        /** Copies the lists. */
        public Reachability {
            unreachableNodes = List.copyOf(unreachableNodes);
            zoneOutcomes = List.copyOf(zoneOutcomes);
            unreachableZones = List.copyOf(unreachableZones);
        }

        /** The outcome of a zone, with zero attempts if none is reported. */
        public ZoneOutcome outcomeOf(long zoneHash) {
            return zoneOutcomes.stream()
                    .filter(outcome -> outcome.zoneHash() == zoneHash)
                    .findFirst()
                    .orElse(new ZoneOutcome(zoneHash, 0, 0));
        }
    }
}

package cairnbridge.store;

import cairnbridge.time.Ticks;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.TreeSet;

/**
 * The state of one proxy that survives a power loss. Immutable; unknown values are empty or 0.
 *
 * @param cluster the name of the cluster that the proxy belongs to
 * @param logged the part that log records change
 * @param content the part that only snapshots contain
 */
public record PersistedState(String cluster, LoggedState logged, Content content) {

    /**
     * The part of the state that log records change.
     *
     * @param sequence the sequence number of the last record that is applied
     * @param generation the highest generation that a run of this proxy has used
     * @param planEpoch the highest epoch of a zone plan that was in force at this proxy
     * @param nodesInMaintenance ids of the nodes that operators have put into maintenance
     */
    public record LoggedState(
            long sequence, long generation, long planEpoch, List<Long> nodesInMaintenance) {
        /** The state before the first record. */
        public static final LoggedState EMPTY = new LoggedState(0, 0, 0, List.of());

        /** Makes a defensive copy of {@code nodesInMaintenance}. */
        public LoggedState {
            nodesInMaintenance = List.copyOf(nodesInMaintenance);
        }

        /** Applies a record; one that is already applied changes nothing. */
        LoggedState with(LogRecord logRecord) {
            if (logRecord.sequence() <= sequence) {
                return this;
            }
            long value = logRecord.value();
            return switch (logRecord.kind()) {
                case GENERATION ->
                        new LoggedState(
                                logRecord.sequence(),
                                Math.max(generation, value),
                                planEpoch,
                                nodesInMaintenance);
                case PLAN_EPOCH ->
                        new LoggedState(
                                logRecord.sequence(),
                                generation,
                                Math.max(planEpoch, value),
                                nodesInMaintenance);
                case MAINTENANCE_ON, MAINTENANCE_OFF ->
                        new LoggedState(
                                logRecord.sequence(),
                                generation,
                                planEpoch,
                                changeMaintenance(
                                        value, logRecord.kind() == LogRecord.Kind.MAINTENANCE_ON));
            };
        }

        private List<Long> changeMaintenance(long node, boolean on) {
            TreeSet<Long> nodes = new TreeSet<>(nodesInMaintenance);
            if (on) {
                nodes.add(node);
            } else {
                nodes.remove(node);
            }
            return new ArrayList<>(nodes);
        }

        private LoggedState withMinPlanEpoch(long epoch) {
            return new LoggedState(
                    sequence, generation, Math.max(planEpoch, epoch), nodesInMaintenance);
        }
    }

    /**
     * The part of the state that only snapshots contain.
     *
     * @param bootId the kernel's boot id when the snapshot was written; empty if unknown
     * @param writtenAtMillis when the snapshot was written: Unix time by the machine's clock
     * @param endpointList the endpoint list in use
     * @param peers the other members of the fleet
     * @param encodedPlan the zone plan that was in force, encoded by the plan's codec
     * @param nodeTrust what this proxy had measured of the origin and the cache nodes
     */
    public record Content(
            String bootId,
            long writtenAtMillis,
            EndpointList endpointList,
            List<Peer> peers,
            byte[] encodedPlan,
            NodeTrust nodeTrust) {
        /** The content before the first snapshot. */
        public static final Content EMPTY =
                new Content("", 0, EndpointList.NONE, List.of(), new byte[0], NodeTrust.NONE);

        /** Makes a defensive copy of {@code peers}. */
        public Content {
            peers = List.copyOf(peers);
        }

        private boolean equalsIgnoringTime(Content other) {
            return endpointList.equals(other.endpointList)
                    && peers.equals(other.peers)
                    && nodeTrust.nodes.equals(other.nodeTrust.nodes)
                    && Arrays.equals(encodedPlan, other.encodedPlan);
        }
    }

    /**
     * The endpoint list: the origin and the cache nodes.
     *
     * @param version the version that discovery gave the list
     * @param json the list in discovery's JSON format
     */
    public record EndpointList(long version, String json) {
        /** Stands for a missing list. */
        public static final EndpointList NONE = new EndpointList(0, "");
    }

    /**
     * Another member of the fleet, as the membership view showed it.
     *
     * @param id the name of the member
     * @param endpoint the host and port of the member's gossip transport
     * @param generation the generation in its incarnation
     * @param refutation the refutation counter in its incarnation
     * @param live whether its status was alive or suspect
     */
    public record Peer(String id, String endpoint, long generation, int refutation, boolean live) {}

    /**
     * What this proxy had measured of the origin and the cache nodes. A restarted proxy begins with
     * these values in place of its defaults.
     *
     * @param recordedAt when the values were current, in ticks of Unix time
     * @param originLatency the latency of a fetch from the origin, in ticks
     * @param sendRate requests a second that this proxy sent to a warm cache node of size one
     * @param nodes the share of requests that each node accepted
     */
    public record NodeTrust(
            long recordedAt, double originLatency, double sendRate, List<Node> nodes) {
        /** Stands for missing measurements. */
        public static final NodeTrust NONE = new NodeTrust(0, 0, 0, List.of());

        /** Makes a defensive copy of {@code nodes}. */
        public NodeTrust {
            nodes = List.copyOf(nodes);
        }
    }

    /**
     * What this proxy had measured of one cache node.
     *
     * @param id the id of the node
     * @param startedAt when the node's process started, according to the endpoint list
     * @param acceptedShare the share of the requests sent to the node that it accepted
     */
    public record Node(long id, long startedAt, double acceptedShare) {}

    /** Rejects null in each component. */
    public PersistedState {
        Objects.requireNonNull(cluster);
        Objects.requireNonNull(logged);
        Objects.requireNonNull(content);
    }

    /** The state of a proxy that has persisted nothing yet. */
    public static PersistedState empty(String cluster) {
        return new PersistedState(cluster, LoggedState.EMPTY, Content.EMPTY);
    }

    /**
     * Shifts the timestamps, as if the clock of the machine that wrote the state had been ahead by
     * this much, or behind if negative.
     */
    public PersistedState withClockAhead(long millis) {
        NodeTrust trust = content.nodeTrust;
        NodeTrust shiftedTrust =
                new NodeTrust(
                        trust.recordedAt + Ticks.fromMillis(millis),
                        trust.originLatency,
                        trust.sendRate,
                        trust.nodes);
        Content shifted =
                new Content(
                        content.bootId,
                        content.writtenAtMillis + millis,
                        content.endpointList,
                        content.peers,
                        content.encodedPlan,
                        shiftedTrust);
        return new PersistedState(cluster, logged, shifted);
    }

    /** Applies a log record; one that is already applied changes nothing. */
    public PersistedState with(LogRecord logRecord) {
        return new PersistedState(cluster, logged.with(logRecord), content);
    }

    /**
     * Combines the content of this state with the logged part of another one. The plan epoch is the
     * higher one of the two.
     */
    PersistedState withLoggedStateOf(PersistedState other) {
        LoggedState merged = other.logged.withMinPlanEpoch(logged.planEpoch);
        return new PersistedState(other.cluster, merged, content);
    }

    /**
     * Whether a snapshot of this state would store nothing new after one of the other state.
     * Compares the plan epoch, the nodes in maintenance, the endpoint list, the peers, the encoded
     * plan and the values of each node; ignores the rest, such as timestamps and the generation.
     */
    boolean hasSameContentAs(PersistedState other) {
        return logged.planEpoch == other.logged.planEpoch
                && logged.nodesInMaintenance.equals(other.logged.nodesInMaintenance)
                && content.equalsIgnoringTime(other.content);
    }
}

package cairnbridge.store;

import cairnbridge.time.Ticks;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.TreeSet;

/**
 * What a store persists of one proxy, at one moment. Immutable; what is not known is empty or 0.
 *
 * @param cluster the name of the cluster that it belongs to
 * @param logged what log records change
 * @param content everything else, which only snapshots have
 */
public record PersistedState(String cluster, LoggedState logged, Content content) {

    /**
     * What log records change.
     *
     * @param sequence the last record that is included
     * @param generation the highest generation that a process run has taken
     * @param planEpoch the highest epoch of a zone plan that was in force here
     * @param nodesInMaintenance ids of nodes that operators have taken out
     */
    public record LoggedState(
            long sequence, long generation, long planEpoch, List<Long> nodesInMaintenance) {
        /** Nothing is known. */
        public static final LoggedState EMPTY = new LoggedState(0, 0, 0, List.of());

        /** Copies the list. */
        public LoggedState {
            nodesInMaintenance = List.copyOf(nodesInMaintenance);
        }

        /** With one record more, unless it is included already. */
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
     * What only snapshots have.
     *
     * @param bootId the boot of the machine that wrote it; empty if unknown
     * @param writtenAtMillis when it was written, Unix time by the machine's clock
     * @param endpointList the list of nodes
     * @param peers the other members of the fleet
     * @param encodedPlan the zone plan that was in force, as its codec writes it
     * @param nodeTrust what was learnt about nodes
     */
    public record Content(
            String bootId,
            long writtenAtMillis,
            EndpointList endpointList,
            List<Peer> peers,
            byte[] encodedPlan,
            NodeTrust nodeTrust) {
        /** Nothing is known. */
        public static final Content EMPTY =
                new Content("", 0, EndpointList.NONE, List.of(), new byte[0], NodeTrust.NONE);

        /** Copies the list. */
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
     * A list of nodes.
     *
     * @param version discovery's version of it
     * @param json the list as discovery sends it
     */
    public record EndpointList(long version, String json) {
        /** No list. */
        public static final EndpointList NONE = new EndpointList(0, "");
    }

    /**
     * Another member.
     *
     * @param id its name
     * @param endpoint where it was reached
     * @param generation the generation of its latest incarnation
     * @param refutation the refutation of its latest incarnation
     * @param live whether it was alive or suspect
     */
    public record Peer(String id, String endpoint, long generation, int refutation, boolean live) {}

    /**
     * What was learnt about nodes.
     *
     * @param learntAt when, in ticks of Unix time
     * @param originLatency how long the origin takes, in ticks
     * @param sendRate requests a second that this proxy sent to a warm cache node of size one
     * @param nodes how far each node was trusted
     */
    public record NodeTrust(
            long recordedAt, double originLatency, double sendRate, List<Node> nodes) {
        /** Nothing was learnt. */
        public static final NodeTrust NONE = new NodeTrust(0, 0, 0, List.of());

        /** Copies the list. */
        public NodeTrust {
            nodes = List.copyOf(nodes);
        }
    }

    /**
     * How far a node was trusted.
     *
     * @param id the node
     * @param startedAt when its process started, as the endpoint list said
     * @param acceptedShare the part of the requests offered to it that it took
     */
    public record Node(long id, long startedAt, double acceptedShare) {}

    /** Checks that nothing is missing. */
    public PersistedState {
        Objects.requireNonNull(cluster);
        Objects.requireNonNull(logged);
        Objects.requireNonNull(content);
    }

    /** Nothing is known. */
    public static PersistedState empty(String cluster) {
        return new PersistedState(cluster, LoggedState.EMPTY, Content.EMPTY);
    }

    /** The same as a machine would have written it whose clock is ahead. */
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

    /** With one log record more, unless it is included already. */
    public PersistedState with(LogRecord logRecord) {
        return new PersistedState(cluster, logged.with(logRecord), content);
    }

    /** This content with what log records have changed in another state. */
    PersistedState withLoggedStateOf(PersistedState other) {
        LoggedState merged = other.logged.withMinPlanEpoch(logged.planEpoch);
        return new PersistedState(other.cluster, merged, content);
    }

    /** Whether a snapshot of it would be the same, apart from its time. */
    boolean hasSameContentAs(PersistedState other) {
        return logged.planEpoch == other.logged.planEpoch
                && logged.nodesInMaintenance.equals(other.logged.nodesInMaintenance)
                && content.equalsIgnoringTime(other.content);
    }
}

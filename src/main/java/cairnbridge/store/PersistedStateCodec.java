package cairnbridge.store;

import cairnbridge.store.PersistedState.Content;
import cairnbridge.store.PersistedState.EndpointList;
import cairnbridge.store.PersistedState.LoggedState;
import cairnbridge.store.PersistedState.NodeTrust;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Objects;

/**
 * Encodes snapshots and log records as CBOR (RFC 8949), each with a format number. Unknown fields,
 * which a newer version of the program may have added, are ignored. A format number other than
 * {@link #FORMAT} is rejected, because the meaning of its fields is unknown.
 *
 * <p>The nested record classes define the stored format. Their component names are the field names
 * in the files and must not change; some differ from the names in the rest of the code.
 */
final class PersistedStateCodec {
    private static final int FORMAT = 1;
    private static final ObjectMapper CBOR =
            CBORMapper.builder()
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private record SnapshotDocument(int format, @JsonProperty("kept") StateDocument state) {}

    /** A log record with the name of the cluster that it belongs to. */
    record RecordDocument(int format, String cluster, @JsonProperty("entry") LogRecord logRecord) {}

    private record StateDocument(
            String cluster,
            long life,
            String boot,
            long at,
            long sequence,
            long rosterVersion,
            String roster,
            List<PeerDocument> peers,
            long epoch,
            byte[] plan,
            long learntAt,
            double originSpan,
            double sendRate,
            List<NodeDocument> nodes,
            List<Long> held) {

        static StateDocument of(PersistedState state) {
            LoggedState logged = state.logged();
            Content content = state.content();
            NodeTrust trust = content.nodeTrust();
            return new StateDocument(
                    state.cluster(),
                    logged.generation(),
                    content.bootId(),
                    content.writtenAtMillis(),
                    logged.sequence(),
                    content.endpointList().version(),
                    content.endpointList().json(),
                    content.peers().stream().map(PeerDocument::of).toList(),
                    logged.planEpoch(),
                    content.encodedPlan(),
                    trust.recordedAt(),
                    trust.originLatency(),
                    trust.sendRate(),
                    trust.nodes().stream().map(NodeDocument::of).toList(),
                    logged.nodesInMaintenance());
        }

        /** Converts the document; missing fields become empty values. */
        PersistedState toState() {
            List<PeerDocument> knownPeers = Objects.requireNonNullElse(peers, List.of());
            List<NodeDocument> knownNodes = Objects.requireNonNullElse(nodes, List.of());
            return new PersistedState(
                    Objects.requireNonNullElse(cluster, ""),
                    new LoggedState(
                            sequence, life, epoch, Objects.requireNonNullElse(held, List.of())),
                    new Content(
                            Objects.requireNonNullElse(boot, ""),
                            at,
                            new EndpointList(rosterVersion, Objects.requireNonNullElse(roster, "")),
                            knownPeers.stream().map(PeerDocument::toPeer).toList(),
                            Objects.requireNonNullElse(plan, new byte[0]),
                            new NodeTrust(
                                    learntAt,
                                    originSpan,
                                    sendRate,
                                    knownNodes.stream().map(NodeDocument::toNode).toList())));
        }
    }

    private record PeerDocument(String id, String at, long life, int turn, boolean living) {
        static PeerDocument of(PersistedState.Peer peer) {
            return new PeerDocument(
                    peer.id(), peer.endpoint(), peer.generation(), peer.refutation(), peer.live());
        }

        PersistedState.Peer toPeer() {
            return new PersistedState.Peer(id, at, life, turn, living);
        }
    }

    private record NodeDocument(long id, long started, double share) {
        static NodeDocument of(PersistedState.Node node) {
            return new NodeDocument(node.id(), node.startedAt(), node.acceptedShare());
        }

        PersistedState.Node toNode() {
            return new PersistedState.Node(id, started, share);
        }
    }

    private PersistedStateCodec() {}

    static byte[] encode(PersistedState state) {
        return encode(new SnapshotDocument(FORMAT, StateDocument.of(state)));
    }

    static byte[] encode(String cluster, LogRecord logRecord) {
        return encode(new RecordDocument(FORMAT, cluster, logRecord));
    }

    private static byte[] encode(Object document) {
        try {
            return CBOR.writeValueAsBytes(document);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e); // Unexpected: writes to memory do not fail.
        }
    }

    /** Decodes a snapshot; throws IllegalArgumentException if the bytes are not a valid one. */
    static PersistedState decodeState(byte[] bytes) {
        SnapshotDocument document = decode(bytes, SnapshotDocument.class);
        if (document.format() != FORMAT || document.state() == null) {
            throw new IllegalArgumentException(
                    "contains no state of a supported format, its format is " + document.format());
        }
        return document.state().toState();
    }

    /** Decodes a log record; throws IllegalArgumentException if the bytes are not a valid one. */
    static RecordDocument decodeRecord(byte[] bytes) {
        RecordDocument document = decode(bytes, RecordDocument.class);
        LogRecord logRecord = document.logRecord();
        if (document.format() != FORMAT
                || document.cluster() == null
                || logRecord == null
                || logRecord.kind() == null) {
            throw new IllegalArgumentException("contains an invalid log record");
        }
        return document;
    }

    private static <T> T decode(byte[] bytes, Class<T> type) {
        try {
            T value = CBOR.readValue(bytes, type);
            if (value == null) {
                throw new IllegalArgumentException("is empty");
            }
            return value;
        } catch (IOException | RuntimeException e) {
            // Jackson throws a RuntimeException for some damaged input.
            throw new IllegalArgumentException("cannot be decoded", e);
        }
    }
}

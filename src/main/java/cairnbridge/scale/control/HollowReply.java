package cairnbridge.scale.control;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** What a process with hollow proxies answers; one JSON line for each command. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = HollowReply.Done.class, name = "done"),
    @JsonSubTypes.Type(value = HollowReply.Started.class, name = "started"),
    @JsonSubTypes.Type(value = HollowReply.ChangeMade.class, name = "change-made"),
    @JsonSubTypes.Type(value = HollowReply.Knowledge.class, name = "knowledge"),
    @JsonSubTypes.Type(value = HollowReply.Agreement.class, name = "agreement"),
    @JsonSubTypes.Type(value = HollowReply.Usage.class, name = "usage"),
    @JsonSubTypes.Type(value = HollowReply.Failed.class, name = "failed")
})
sealed interface HollowReply {
    /** The command is carried out. */
    record Done() implements HollowReply {}

    /** Members run at these places, in the order in which they were named. */
    record Started(List<String> endpoints) implements HollowReply {}

    /** A change was begun at this time of the machine's monotonic clock. */
    record ChangeMade(long atNanos) implements HollowReply {}

    /** When members of this process came to know, by the machine's monotonic clock. */
    record Knowledge(List<Long> knownAtNanos) implements HollowReply {}

    /** How many of the running members agree, and what all have still to pass on. */
    record Agreement(int agreeing, int running, int rumoursWaiting) implements HollowReply {}

    /**
     * What was used since the start; members that ended count up to their end.
     *
     * @param atNanos when it was read, by the machine's monotonic clock
     * @param processCpuNanos of the whole process, with compilation and garbage collection
     * @param carrierCpuNanos of the carriers' threads that run now
     * @param heapBytes in use
     * @param syncs whole views compared
     * @param overBudget datagrams not sent for the budget of bytes a second
     * @param failures calls that came to nothing and datagrams that were not taken
     * @param nodeProbes turns to probe a cache node
     */
    record Usage(
            long atNanos,
            long processCpuNanos,
            long carrierCpuNanos,
            long heapBytes,
            long bytesSent,
            long bytesReceived,
            long syncs,
            long overBudget,
            long failures,
            long nodeProbes)
            implements HollowReply {
        /** Sums two processes; the later time holds. */
        Usage plus(Usage other) {
            return new Usage(
                    Math.max(atNanos, other.atNanos),
                    processCpuNanos + other.processCpuNanos,
                    carrierCpuNanos + other.carrierCpuNanos,
                    heapBytes + other.heapBytes,
                    bytesSent + other.bytesSent,
                    bytesReceived + other.bytesReceived,
                    syncs + other.syncs,
                    overBudget + other.overBudget,
                    failures + other.failures,
                    nodeProbes + other.nodeProbes);
        }
    }

    /** The command could not be carried out. */
    record Failed(String reason) implements HollowReply {}
}

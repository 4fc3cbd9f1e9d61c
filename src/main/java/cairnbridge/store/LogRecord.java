package cairnbridge.store;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * One record of the write-ahead log: a change that must survive a power loss once it has been
 * acknowledged.
 *
 * @param sequence the sequence number, which increases with each record of a directory
 * @param kind what the record changes
 * @param value the generation, the epoch of the zone plan or the id of the node, by kind
 */
public record LogRecord(long sequence, Kind kind, @JsonProperty("number") long value) {
    /** What a record changes. The property names are part of the stored format. */
    public enum Kind {
        /** The process has started with this generation. */
        @JsonProperty("LIFE")
        GENERATION,
        /** A zone plan with this epoch has taken effect. */
        @JsonProperty("EPOCH")
        PLAN_EPOCH,
        /** An operator has put this node into maintenance. */
        @JsonProperty("HELD")
        MAINTENANCE_ON,
        /** An operator has ended the maintenance of this node. */
        @JsonProperty("FREED")
        MAINTENANCE_OFF
    }
}

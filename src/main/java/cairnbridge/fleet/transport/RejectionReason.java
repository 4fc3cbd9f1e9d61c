package cairnbridge.fleet.transport;

/** Why a frame was dropped before the membership protocol saw it. Each is counted in a metric. */
public enum RejectionReason {
    /** It does not begin with the magic number of a frame. */
    FOREIGN,
    /** It is shorter than a header, or than the length in its header. */
    CUT_SHORT,
    /** It belongs to another cluster. */
    OTHER_CLUSTER,
    /** It has a protocol version that this member does not speak. */
    UNKNOWN_VERSION,
    /** Its authentication code is wrong. */
    FORGED,
    /** Its content cannot be decoded. */
    MALFORMED,
    /** It was sent by an earlier run of its sender's process. */
    EARLIER_LIFE,
    /** A datagram with its sequence number has arrived before. */
    SEEN_BEFORE
}

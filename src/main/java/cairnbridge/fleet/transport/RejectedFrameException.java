package cairnbridge.fleet.transport;

/**
 * Thrown for a frame that is rejected. It has no stack trace, as unauthenticated senders can cause
 * many rejections.
 */
final class RejectedFrameException extends Exception {
    private static final long serialVersionUID = 1L;
    private final RejectionReason reason;

    RejectedFrameException(RejectionReason reason) {
        super(reason.name(), null, false, false);
        this.reason = reason;
    }

    RejectionReason reason() {
        return reason;
    }
}

package cairnbridge.recovery;

/**
 * What the recovery of a proxy needs the proxy to do. {@link RecoveryCoordinator} calls these
 * methods from within its own, so they must not block.
 */
public interface RecoveryHost {
    /** Uses the persisted endpoint list, because there is no other list yet. */
    void usePersistedList();

    /** Requests the endpoint list of another member and uses it. */
    void requestEndpointList(String member);

    /** Requests the whole list from discovery again and uses it whatever its version. */
    void acceptStaleList();

    /** Sends a health check to the origin. */
    void probeOrigin();

    /** Logs a message for operators. */
    void log(String message);
}

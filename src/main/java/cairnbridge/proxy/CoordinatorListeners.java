package cairnbridge.proxy;

/**
 * The listeners of a {@link RequestCoordinator}: the fleet's load counters and the recovery from a
 * power loss, if they are configured. They are set before the coordinator thread starts, and read
 * only by that thread.
 */
final class CoordinatorListeners {
    private LoadListener load = LoadListener.NONE;
    private RecoveryListener recovery = RecoveryListener.NONE;

    /** The listener that counts the load; {@link LoadListener#NONE} if none was set. */
    LoadListener load() {
        return load;
    }

    /** Sets the listener that counts the load. */
    void setLoad(LoadListener listener) {
        load = listener;
    }

    /** The listener that admits requests during recovery; by default it admits all. */
    RecoveryListener recovery() {
        return recovery;
    }

    /** Sets the listener that admits requests during recovery. */
    void setRecovery(RecoveryListener listener) {
        recovery = listener;
    }
}

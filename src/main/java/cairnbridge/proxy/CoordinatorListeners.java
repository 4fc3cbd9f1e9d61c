package cairnbridge.proxy;

/**
 * Who else hears what the coordinator does: the fleet's load counters and the recovery from a power
 * loss, where the proxy has them. Set before the owner thread starts, and read by it alone.
 */
final class CoordinatorListeners {
    private LoadListener load = LoadListener.NONE;
    private RecoveryListener recovery = RecoveryListener.NONE;

    /** Counts the load. */
    LoadListener load() {
        return load;
    }

    /** Sets who counts the load. */
    void setLoad(LoadListener listener) {
        load = listener;
    }

    /** Admits requests during recovery. */
    RecoveryListener recovery() {
        return recovery;
    }

    /** Sets who admits requests during recovery. */
    void setRecovery(RecoveryListener listener) {
        recovery = listener;
    }
}

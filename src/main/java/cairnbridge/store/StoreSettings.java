package cairnbridge.store;

import java.nio.file.Path;

/**
 * The settings of a state store.
 *
 * @param directory the directory of the store's files; its file system has to survive a power loss
 * @param cluster the name of the cluster that the state belongs to
 * @param snapshotIntervalMillis the minimum time between two snapshots
 * @param maxSnapshotBytesPerSecond the limit of bytes written in snapshots, averaged over time
 */
public record StoreSettings(
        Path directory,
        String cluster,
        long snapshotIntervalMillis,
        long maxSnapshotBytesPerSecond) {}

package cairnbridge.store;

import java.nio.file.Path;

/**
 * What a store is told at its start.
 *
 * @param folder where its files are; has to outlive a loss of power
 * @param cluster whose they are
 * @param snapshotEvery at most so often a snapshot, in milliseconds
 * @param bytesPerSecond of snapshots, at most, over time
 */
public record StoreSettings(Path folder, String cluster, long snapshotEvery, long bytesPerSecond) {}

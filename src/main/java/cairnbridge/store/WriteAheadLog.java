package cairnbridge.store;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The snapshots and logs in one directory, and the order in which they are written. Call {@link
 * #open} once before anything else. For use by one thread, which waits for the disk.
 *
 * <p>A log begins before the snapshot of its number is written, and the snapshot before that is
 * kept with its log: wherever the power fails, one complete snapshot exists with all records after
 * it. Records are numbered, so that one that is read twice counts once.
 */
public final class WriteAheadLog {
    private static final String SNAPSHOT_PREFIX = "snapshot-";
    private static final String LOG_PREFIX = "log-";
    private static final String UNFINISHED_SNAPSHOT = "snapshot.new";
    private static final Pattern FILE_NAME = Pattern.compile("(snapshot|log)-([0-9]{1,18})");

    /** Older snapshots are deleted, with the logs before the oldest one that is kept. */
    private static final int RETAINED_SNAPSHOTS = 2;

    /**
     * What was read from the directory.
     *
     * @param state the latest state
     * @param faults what could not be used, one sentence for each file
     */
    public record Contents(PersistedState state, List<String> faults) {}

    /**
     * A change to be appended.
     *
     * @param value see {@link LogRecord#value}
     */
    public record Change(LogRecord.Kind kind, long value) {}

    private record NumberedFile(String name, long number) {}

    private final StorageDirectory directory;
    private final String cluster;
    private PersistedState state;

    /** The number of the newest file. */
    private long fileNumber;

    /** The last sequence number that was given to a record, whether or not it was written. */
    private long lastSequence;

    /** The log that is appended to; empty if the next record begins one. */
    private Optional<String> currentLog = Optional.empty();

    private long snapshotBytes;

    /** A log in a directory whose files belong to a cluster. */
    public WriteAheadLog(StorageDirectory directory, String cluster) {
        this.directory = directory;
        this.cluster = cluster;
        state = PersistedState.empty(cluster);
    }

    /**
     * Reads everything that was written completely.
     *
     * @throws IOException if the directory itself cannot be read
     */
    public Contents open() throws IOException {
        List<String> faults = new ArrayList<>();
        List<NumberedFile> snapshots = newestFirst(SNAPSHOT_PREFIX);
        List<NumberedFile> logs = newestFirst(LOG_PREFIX);
        snapshots.forEach(this::updateFileNumber);
        logs.forEach(this::updateFileNumber);
        state = latestSnapshot(snapshots, faults).orElse(state);
        for (int i = logs.size() - 1; i >= 0; i--) {
            replay(logs.get(i).name(), faults);
        }
        lastSequence = state.logged().sequence();
        return new Contents(state, faults);
    }

    private void updateFileNumber(NumberedFile file) {
        fileNumber = Math.max(fileNumber, file.number());
    }

    private List<NumberedFile> newestFirst(String prefix) throws IOException {
        List<NumberedFile> files = new ArrayList<>();
        for (String name : directory.listFiles()) {
            Matcher matcher = FILE_NAME.matcher(name);
            if (name.startsWith(prefix) && matcher.matches()) {
                files.add(new NumberedFile(name, Long.parseLong(matcher.group(2))));
            }
        }
        files.sort(Comparator.comparingLong(NumberedFile::number).reversed());
        return files;
    }

    private Optional<PersistedState> latestSnapshot(
            List<NumberedFile> snapshots, List<String> faults) {
        for (NumberedFile file : snapshots) {
            Optional<PersistedState> found = readSnapshot(file.name(), faults);
            if (found.isPresent()) {
                return found;
            }
        }
        return Optional.empty();
    }

    private Optional<PersistedState> readSnapshot(String name, List<String> faults) {
        try {
            List<byte[]> records = RecordFrame.decode(directory.read(name));
            if (records.isEmpty()) {
                faults.add(name + " is not complete");
                return Optional.empty();
            }
            PersistedState read = PersistedStateCodec.decodeState(records.get(0));
            if (read.cluster().equals(cluster)) {
                return Optional.of(read);
            }
            faults.add(name + " is of cluster '" + read.cluster() + "'");
        } catch (IOException | IllegalArgumentException e) {
            faults.add(name + " " + e.getMessage());
        }
        return Optional.empty();
    }

    private void replay(String name, List<String> faults) {
        try {
            for (byte[] content : RecordFrame.decode(directory.read(name))) {
                PersistedStateCodec.RecordDocument document =
                        PersistedStateCodec.decodeRecord(content);
                if (!document.cluster().equals(cluster)) {
                    faults.add(name + " is of cluster '" + document.cluster() + "'");
                    return;
                }
                state = state.with(document.logRecord());
            }
        } catch (IOException | IllegalArgumentException e) {
            faults.add(name + " " + e.getMessage());
        }
    }

    /** The state as it is stored. */
    public PersistedState state() {
        return state;
    }

    /** The size of the last snapshot in bytes. */
    public long snapshotBytes() {
        return snapshotBytes;
    }

    /** Appends records with one wait for the disk; when it returns they survive a power loss. */
    public void append(List<Change> changes) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PersistedState next = state;
        for (Change change : changes) {
            // Guards against a record that failed, was stored after all, and hides one of its
            // number: sequence numbers are never used again.
            LogRecord logRecord = new LogRecord(++lastSequence, change.kind(), change.value());
            next = next.with(logRecord);
            byte[] encoded = PersistedStateCodec.encode(cluster, logRecord);
            bytes.writeBytes(RecordFrame.encode(encoded));
        }
        appendToLog(bytes.toByteArray());
        state = next;
    }

    private void appendToLog(byte[] bytes) throws IOException {
        boolean isNew = currentLog.isEmpty();
        String name = currentLog.orElseGet(() -> LOG_PREFIX + ++fileNumber);
        // Guards against complete records behind a torn one, which nobody would read: after a
        // fault another log begins.
        currentLog = Optional.empty();
        directory.append(name, bytes);
        directory.sync(name);
        if (isNew) {
            directory.syncDirectory();
        }
        currentLog = Optional.of(name);
    }

    /** Writes a snapshot that includes all records so far, and deletes what it replaces. */
    public void writeSnapshot(PersistedState content) throws IOException {
        currentLog = Optional.empty(); // Records from now on belong to a newer log.
        PersistedState next = content.withLoggedStateOf(state);
        byte[] bytes = RecordFrame.encode(PersistedStateCodec.encode(next));
        directory.write(UNFINISHED_SNAPSHOT, bytes);
        directory.sync(UNFINISHED_SNAPSHOT);
        directory.rename(UNFINISHED_SNAPSHOT, SNAPSHOT_PREFIX + ++fileNumber);
        directory.syncDirectory();
        state = next;
        snapshotBytes = bytes.length;
        deleteReplacedFiles();
    }

    private void deleteReplacedFiles() throws IOException {
        List<NumberedFile> snapshots = newestFirst(SNAPSHOT_PREFIX);
        if (snapshots.size() < RETAINED_SNAPSHOTS) {
            return;
        }
        long oldestKept = snapshots.get(RETAINED_SNAPSHOTS - 1).number();
        for (NumberedFile file : snapshots.subList(RETAINED_SNAPSHOTS, snapshots.size())) {
            directory.delete(file.name());
        }
        for (NumberedFile file : newestFirst(LOG_PREFIX)) {
            if (file.number() < oldestKept) {
                directory.delete(file.name());
            }
        }
    }
}

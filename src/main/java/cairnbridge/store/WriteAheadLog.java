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
 * Snapshots and logs of state changes in one directory. Call {@link #open} once before any other
 * method. Not thread-safe; methods block on the disk.
 *
 * <p>Snapshots and logs share one sequence of file numbers. A snapshot ends the current log, so the
 * records after it are in logs of higher numbers. The two newest snapshots are retained with all
 * logs after the older one: even if a power loss tears the newest snapshot, the one before it is
 * complete, and so are the records after it. Records have sequence numbers, so a replay ignores
 * records that the snapshot already includes.
 */
public final class WriteAheadLog {
    private static final String SNAPSHOT_PREFIX = "snapshot-";
    private static final String LOG_PREFIX = "log-";
    private static final String UNFINISHED_SNAPSHOT = "snapshot.new";
    private static final Pattern FILE_NAME = Pattern.compile("(snapshot|log)-([0-9]{1,18})");

    /** Older snapshots are deleted, and so are the logs before the oldest retained snapshot. */
    private static final int RETAINED_SNAPSHOTS = 2;

    /**
     * The result of reading the directory.
     *
     * @param state the newest snapshot with the log records replayed on it
     * @param faults a message for each file that could not be used, beginning with the file's name
     */
    public record Contents(PersistedState state, List<String> faults) {}

    /**
     * A change to append; it becomes a log record with the next sequence number.
     *
     * @param value see {@link LogRecord#value}
     */
    public record Change(LogRecord.Kind kind, long value) {}

    private record NumberedFile(String name, long number) {}

    private final StorageDirectory directory;
    private final String cluster;
    private PersistedState state;

    /** The highest number of a snapshot or log in the directory. */
    private long fileNumber;

    /** The last sequence number given to a record, even if that record could not be written. */
    private long lastSequence;

    /** The name of the log that is appended to; empty if the next append starts a new log. */
    private Optional<String> currentLog = Optional.empty();

    private long snapshotBytes;

    /** Uses the files of a cluster in a directory; files of other clusters are ignored. */
    public WriteAheadLog(StorageDirectory directory, String cluster) {
        this.directory = directory;
        this.cluster = cluster;
        state = PersistedState.empty(cluster);
    }

    /**
     * Reads the newest valid snapshot and replays the complete records of all logs.
     *
     * @throws IOException if the directory itself cannot be read
     */
    public Contents open() throws IOException {
        List<String> faults = new ArrayList<>();
        List<NumberedFile> snapshots = newestFirst(SNAPSHOT_PREFIX);
        List<NumberedFile> logs = newestFirst(LOG_PREFIX);
        snapshots.forEach(this::raiseFileNumberTo);
        logs.forEach(this::raiseFileNumberTo);
        state = latestSnapshot(snapshots, faults).orElse(state);
        for (int i = logs.size() - 1; i >= 0; i--) {
            replay(logs.get(i).name(), faults);
        }
        lastSequence = state.logged().sequence();
        return new Contents(state, faults);
    }

    private void raiseFileNumberTo(NumberedFile file) {
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

    /** The state as stored on disk. */
    public PersistedState state() {
        return state;
    }

    /** The size in bytes of the last snapshot that was written; 0 before the first one. */
    public long snapshotBytes() {
        return snapshotBytes;
    }

    /** Appends records with a single sync; they survive a power loss once this method returns. */
    public void append(List<Change> changes) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PersistedState next = state;
        for (Change change : changes) {
            // Guards against two records with one number: a record whose write failed may be on the
            // disk all the same, and replay would ignore a later one with its number.
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
        // Guards against complete records behind a torn one, which a replay would not reach: after
        // a failed write the next append starts a new log.
        currentLog = Optional.empty();
        directory.append(name, bytes);
        directory.sync(name);
        if (isNew) {
            directory.syncDirectory();
        }
        currentLog = Optional.of(name);
    }

    /** Writes a snapshot that includes all records so far, and deletes the files it replaces. */
    public void writeSnapshot(PersistedState content) throws IOException {
        currentLog = Optional.empty(); // Later records go to a new log.
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

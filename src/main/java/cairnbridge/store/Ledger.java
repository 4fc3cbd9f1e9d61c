package cairnbridge.store;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The files of one folder and the order in which they are written: snapshot-N, and log-N with what
 * came after it. Make one, open it once, then enter and snapshot. One thread's; it waits for the
 * disk.
 *
 * <p>A log begins before the snapshot of its number is written, and the snapshot before is kept
 * with its log: wherever the power goes, one whole snapshot stands with every entry that came after
 * it. Entries carry numbers, so that one that is read twice counts once. docs/design/recovery.md
 * says what was weighed.
 */
public final class Ledger {
    private static final String SNAPSHOT = "snapshot-", LOG = "log-", NEW = "snapshot.new";
    private static final Pattern NAME = Pattern.compile("(snapshot|log)-([0-9]{1,18})");

    /** What reading back found: the state, and in words what could not be used. */
    public record Opened(Kept kept, List<String> faults) {}

    private record Numbered(String name, long number) {}

    private final Disk disk;
    private final String cluster;
    private Kept kept;
    private long number;

    /** The last number given to an entry, whether or not it came to the disk. */
    private long given;

    /** The log that is written to; null where the next entry is to begin one. */
    private String log;

    private long snapshotBytes;

    public Ledger(Disk disk, String cluster) {
        this.disk = disk;
        this.cluster = cluster;
        kept = Kept.nothing(cluster);
    }

    /**
     * Reads back what was written whole; an IOException only where the folder itself cannot be
     * read.
     */
    public Opened open() throws IOException {
        List<String> faults = new ArrayList<>();
        List<Numbered> snapshots = numbered(SNAPSHOT);
        List<Numbered> logs = numbered(LOG);
        Kept found = null;
        for (Numbered each : snapshots) {
            number = Math.max(number, each.number());
            if (found == null) {
                found = snapshot(each.name(), faults);
            }
        }
        kept = found == null ? kept : found;
        for (int i = logs.size() - 1; i >= 0; i--) {
            number = Math.max(number, logs.get(i).number());
            entries(logs.get(i).name(), faults);
        }
        given = kept.sequence();
        return new Opened(kept, faults);
    }

    /** Highest number first. */
    private List<Numbered> numbered(String kind) throws IOException {
        List<Numbered> found = new ArrayList<>();
        for (String name : disk.names()) {
            Matcher matcher = NAME.matcher(name);
            if (name.startsWith(kind) && matcher.matches()) {
                found.add(new Numbered(name, Long.parseLong(matcher.group(2))));
            }
        }
        found.sort(Comparator.comparingLong(Numbered::number).reversed());
        return found;
    }

    private Kept snapshot(String name, List<String> faults) {
        try {
            List<byte[]> frames = Frame.read(disk.read(name));
            Kept read = frames.isEmpty() ? null : KeptCodec.readKept(frames.get(0));
            if (read != null && read.cluster().equals(cluster)) {
                return read;
            }
            faults.add(
                    name
                            + (read == null
                                    ? " is not whole"
                                    : " is of cluster '" + read.cluster() + "'"));
        } catch (IOException | IllegalArgumentException e) {
            faults.add(name + " " + e.getMessage());
        }
        return null;
    }

    private void entries(String name, List<String> faults) {
        try {
            for (byte[] frame : Frame.read(disk.read(name))) {
                KeptCodec.Line line = KeptCodec.readLine(frame);
                if (!line.cluster().equals(cluster)) {
                    throw new IllegalArgumentException("is of cluster '" + line.cluster() + "'");
                }
                kept = kept.with(line.entry());
            }
        } catch (IOException | IllegalArgumentException e) {
            faults.add(name + " " + e.getMessage());
        }
    }

    /** The state as it stands on the disk. */
    public Kept kept() {
        return kept;
    }

    /** Bytes of the last snapshot. */
    public long snapshotBytes() {
        return snapshotBytes;
    }

    /**
     * Adds entries, all with one wait for the disk; when it returns they outlive a loss of power.
     */
    public void enter(List<Entry.Kind> kinds, List<Long> numbers) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        Kept next = kept;
        for (int i = 0; i < kinds.size(); i++) {
            // Guards against an entry that failed, came to the disk after all, and hides one of its
            // number.
            Entry entry = new Entry(++given, kinds.get(i), numbers.get(i));
            next = next.with(entry);
            bytes.writeBytes(Frame.write(KeptCodec.write(cluster, entry)));
        }
        boolean fresh = log == null;
        String to = fresh ? LOG + ++number : log;
        // Guards against whole entries behind one that is torn, which nobody would read: another
        // log follows.
        log = null;
        disk.append(to, bytes.toByteArray());
        disk.sync(to);
        if (fresh) {
            disk.syncNames();
        }
        log = to;
        kept = next;
    }

    /** Writes the state anew, with all entries so far, and drops what it makes needless. */
    public void snapshot(Kept state) throws IOException {
        log = null; // What comes from now on begins a log of a higher number than the snapshot
        // before.
        Kept next = state.andEntriesOf(kept);
        byte[] bytes = Frame.write(KeptCodec.write(next));
        disk.write(NEW, bytes);
        disk.sync(NEW);
        String name = SNAPSHOT + ++number;
        disk.rename(NEW, name);
        disk.syncNames();
        kept = next;
        snapshotBytes = bytes.length;
        List<Numbered> snapshots = numbered(SNAPSHOT);
        if (snapshots.size() > 1) {
            // The one before stays, and all logs since.
            long oldest = snapshots.get(1).number();
            for (Numbered each : snapshots.subList(2, snapshots.size())) {
                disk.delete(each.name());
            }
            for (Numbered each : numbered(LOG)) {
                if (each.number() < oldest) {
                    disk.delete(each.name());
                }
            }
        }
    }
}

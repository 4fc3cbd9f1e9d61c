package cairnbridge.proxy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.logging.Logger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The other processes that serve at the same address. Each leaves marker files in a folder that all
 * share, named by its process id and its start. A marker counts while its process runs, so that one
 * left behind by a process that was killed has no effect.
 *
 * <p>The thread of the start, the scheduler, the admin endpoint and the thread that drains call it.
 */
final class SiblingProcesses {
    private static final Logger LOG = Logger.getLogger(SiblingProcesses.class.getName());
    private static final Pattern MARK_NAME =
            Pattern.compile("(runs|ready)-([0-9]{1,18})-([0-9]{1,18})");
    private static final String RUNNING = "runs";
    private static final String READY = "ready";
    private static final String UNFINISHED = "next";

    /**
     * The marker of another process.
     *
     * @param ready whether it says that the process is ready, else that it runs
     */
    private record ProcessMark(boolean ready, long processId, long startedAtMillis, Path file) {}

    private final DeduplicatedLog deduplicatedLog = new DeduplicatedLog(LOG, "siblings");
    private final Optional<Path> sharedFolder;
    private final long processId = ProcessHandle.current().pid();
    private final long startedAtMillis = System.currentTimeMillis();

    /**
     * Marks nothing yet.
     *
     * @param sharedFolder empty if there is none: then this process has no siblings
     */
    SiblingProcesses(Optional<Path> sharedFolder) {
        this.sharedFolder = sharedFolder;
    }

    /** From now on others know that this process runs. */
    void markRunning() {
        writeMark(RUNNING);
    }

    /** From now on others know that this process is ready for clients. */
    void markReady() {
        writeMark(READY);
    }

    private Path markFile(Path shared, String kind) {
        return shared.resolve(kind + "-" + processId + "-" + startedAtMillis);
    }

    private void writeMark(String kind) {
        if (sharedFolder.isEmpty()) {
            return;
        }
        try {
            Files.writeString(markFile(sharedFolder.get(), kind), "");
        } catch (IOException e) {
            deduplicatedLog.warnOnce("cannot create marker: {0}", e);
        }
    }

    /** From now on others do not count on this process. */
    void removeMarks() {
        if (sharedFolder.isEmpty()) {
            return;
        }
        for (String kind : List.of(RUNNING, READY)) {
            try {
                Files.deleteIfExists(markFile(sharedFolder.get(), kind));
            } catch (IOException e) {
                deduplicatedLog.warnOnce("cannot delete marker: {0}", e);
            }
        }
    }

    /** Whether another process runs that shares this one's limits. */
    boolean hasSiblings() {
        return !readMarks().isEmpty();
    }

    /** Whether a process that started later runs, ready or not. */
    boolean hasSuccessor() {
        return readMarks().stream().anyMatch(mark -> mark.startedAtMillis > startedAtMillis);
    }

    /** Whether a process that started later is ready for all clients of the shared address. */
    boolean hasReadySuccessor() {
        return readMarks().stream()
                .anyMatch(mark -> mark.ready && mark.startedAtMillis > startedAtMillis);
    }

    /**
     * Publishes how many descriptors this process has open, and returns how many the others have
     * open together; 0 if there are none.
     */
    int exchangeDescriptorCounts(int openDescriptors) {
        List<ProcessMark> others = readMarks().stream().filter(mark -> !mark.ready).toList();
        if (others.isEmpty()) {
            return 0;
        }
        try {
            publishDescriptorCount(sharedFolder.get(), openDescriptors);
        } catch (IOException e) {
            deduplicatedLog.warnOnce("cannot publish descriptor count: {0}", e);
        }
        return others.stream().mapToInt(mark -> readDescriptorCount(mark.file)).sum();
    }

    /** Guards against a number that is read half written: it is put in place whole. */
    private void publishDescriptorCount(Path shared, int openDescriptors) throws IOException {
        Path unfinished = markFile(shared, UNFINISHED);
        Files.writeString(unfinished, Integer.toString(openDescriptors));
        Files.move(unfinished, markFile(shared, RUNNING), StandardCopyOption.ATOMIC_MOVE);
    }

    private int readDescriptorCount(Path mark) {
        try {
            String text = Files.readString(mark);
            return text.isEmpty() ? 0 : Integer.parseInt(text); // It has published none yet.
        } catch (IOException | NumberFormatException e) {
            deduplicatedLog.warnOnce("cannot read marker: {0}", e);
            return 0;
        }
    }

    private List<ProcessMark> readMarks() {
        List<ProcessMark> marks = new ArrayList<>();
        if (sharedFolder.isEmpty()) {
            return marks;
        }
        try (Stream<Path> files = Files.list(sharedFolder.get())) {
            files.forEach(file -> addMark(file, marks));
        } catch (IOException | UncheckedIOException e) {
            deduplicatedLog.warnOnce("cannot list markers: {0}", e);
        }
        return marks;
    }

    private void addMark(Path file, List<ProcessMark> marks) {
        Matcher name = MARK_NAME.matcher(file.getFileName().toString());
        if (!name.matches()) {
            return;
        }
        long markedProcessId = Long.parseLong(name.group(2));
        if (markedProcessId != processId && ProcessHandle.of(markedProcessId).isPresent()) {
            marks.add(
                    new ProcessMark(
                            name.group(1).equals(READY),
                            markedProcessId,
                            Long.parseLong(name.group(3)),
                            file));
        }
    }
}

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
 * The processes that serve at the same place: each leaves a mark in the folder that they share, by
 * its number and its start. A mark counts while its process lives: what one that was killed leaves
 * behind says nothing.
 */
final class SiblingProcesses {
    private static final Logger LOG = Logger.getLogger(SiblingProcesses.class.getName());
    private static final Pattern MARK_NAME =
            Pattern.compile("(runs|ready)-([0-9]{1,18})-([0-9]{1,18})");

    private record ProcessMark(boolean ready, long processId, long startedAtMillis, Path file) {}

    private static final String RUNNING = "runs";
    private static final String READY = "ready";

    private final DeduplicatedLog deduplicatedLog = new DeduplicatedLog(LOG, "beside");
    private final Optional<Path> sharedFolder;
    private final long processId = ProcessHandle.current().pid();
    private final long startedAtMillis = System.currentTimeMillis();

    /** folder is empty where none is shared: then nobody is beside this process. */
    SiblingProcesses(Optional<Path> folder) {
        this.sharedFolder = folder;
    }

    void markRunning() {
        writeMark(RUNNING);
    }

    void markReady() {
        writeMark(READY);
    }

    private Path markFile(Path shared, String word) {
        return shared.resolve(word + "-" + processId + "-" + startedAtMillis);
    }

    private void writeMark(String word) {
        sharedFolder.ifPresent(
                shared -> {
                    try {
                        Files.writeString(markFile(shared, word), "");
                    } catch (IOException e) {
                        deduplicatedLog.warnOnce("no mark left, " + e);
                    }
                });
    }

    void removeMarks() {
        sharedFolder.ifPresent(
                shared -> {
                    for (String word : List.of(RUNNING, READY)) {
                        try {
                            Files.deleteIfExists(markFile(shared, word));
                        } catch (IOException e) {
                            deduplicatedLog.warnOnce("a mark stays, " + e);
                        }
                    }
                });
    }

    /** Whether another process lives that shares this one's limits. */
    boolean hasSiblings() {
        return !readMarks().isEmpty();
    }

    /** Whether one that began later is ready for all that comes to the shared address. */
    boolean hasReadySuccessor() {
        return readMarks().stream()
                .anyMatch(mark -> mark.ready && mark.startedAtMillis > startedAtMillis);
    }

    /**
     * Tells the others how many descriptors this process holds; how many they hold together, 0 if
     * alone.
     */
    int exchangeDescriptorCounts(int held) {
        List<ProcessMark> others = readMarks().stream().filter(mark -> !mark.ready).toList();
        if (others.isEmpty()) {
            return 0;
        }
        try {
            // Guards against a number read half: it is put in place whole.
            Path fresh = markFile(sharedFolder.get(), "next");
            Files.writeString(fresh, Integer.toString(held));
            Files.move(
                    fresh, markFile(sharedFolder.get(), RUNNING), StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            deduplicatedLog.warnOnce("what this process holds cannot be told, " + e);
        }
        return others.stream().mapToInt(mark -> readDescriptorCount(mark.file)).sum();
    }

    private int readDescriptorCount(Path mark) {
        try {
            String text = Files.readString(mark);
            return text.isEmpty() ? 0 : Integer.parseInt(text); // It has not told yet.
        } catch (IOException | NumberFormatException e) {
            deduplicatedLog.warnOnce("a mark cannot be read, " + e);
            return 0;
        }
    }

    private List<ProcessMark> readMarks() {
        List<ProcessMark> marks = new ArrayList<>();
        if (sharedFolder.isEmpty()) {
            return marks;
        }
        try (Stream<Path> files = Files.list(sharedFolder.get())) {
            files.forEach(
                    file -> {
                        Matcher found = MARK_NAME.matcher(file.getFileName().toString());
                        if (found.matches()) {
                            long process = Long.parseLong(found.group(2));
                            if (process != processId && ProcessHandle.of(process).isPresent()) {
                                marks.add(
                                        new ProcessMark(
                                                found.group(1).equals(READY),
                                                process,
                                                Long.parseLong(found.group(3)),
                                                file));
                            }
                        }
                    });
        } catch (IOException | UncheckedIOException e) {
            deduplicatedLog.warnOnce("the marks cannot be read, " + e);
        }
        return marks;
    }
}

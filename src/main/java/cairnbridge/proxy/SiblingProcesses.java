package cairnbridge.proxy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.logging.Logger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The other processes that serve at the same address. Each process writes marker files to a shared
 * folder, named after its process id and its start time. A marker counts only while its process
 * runs, so a marker left behind by a killed process has no effect.
 *
 * <p>It is called by the threads that start and drain the proxy, by the scheduler and by the admin
 * endpoint.
 */
final class SiblingProcesses {
    private static final Logger LOG = Logger.getLogger(SiblingProcesses.class.getName());
    private static final Pattern MARKER_NAME =
            Pattern.compile("(runs|ready)-([0-9]{1,18})-([0-9]{1,18})");
    private static final String RUNNING = "runs";
    private static final String READY = "ready";
    private static final String TEMPORARY = "next";

    /**
     * The marker of another process.
     *
     * @param ready whether the marker means that the process is ready, otherwise that it runs
     */
    private record ProcessMarker(boolean ready, long processId, long startedAtMillis, Path file) {}

    private final DeduplicatedLog deduplicatedLog = new DeduplicatedLog(LOG, "siblings");
    private final Optional<Path> sharedFolder;
    private final long processId = ProcessHandle.current().pid();
    private final long startedAtMillis = System.currentTimeMillis();
    private final OptionalLong ownStart = ProcessStart.sinceBoot(processId);

    /**
     * Writes no marker yet; {@link #markRunning} does.
     *
     * @param sharedFolder empty if there is none: then this process has no siblings
     */
    SiblingProcesses(Optional<Path> sharedFolder) {
        this.sharedFolder = sharedFolder;
    }

    /** Writes the marker that this process runs. */
    void markRunning() {
        writeMarker(RUNNING);
    }

    /** Writes the marker that this process is ready for clients. */
    void markReady() {
        writeMarker(READY);
    }

    private Path markerFile(Path shared, String kind) {
        return shared.resolve(kind + "-" + processId + "-" + startedAtMillis);
    }

    private void writeMarker(String kind) {
        if (sharedFolder.isEmpty()) {
            return;
        }
        try {
            Files.writeString(markerFile(sharedFolder.get(), kind), "");
        } catch (IOException e) {
            deduplicatedLog.warnOnce("cannot create marker: {0}", e);
        }
    }

    /** Deletes the markers of this process, so that others no longer count it. */
    void removeMarkers() {
        if (sharedFolder.isEmpty()) {
            return;
        }
        for (String kind : List.of(RUNNING, READY)) {
            try {
                Files.deleteIfExists(markerFile(sharedFolder.get(), kind));
            } catch (IOException e) {
                deduplicatedLog.warnOnce("cannot delete marker: {0}", e);
            }
        }
    }

    /** Whether another process runs at the same address, and so shares this one's limits. */
    boolean hasSiblings() {
        return !readMarkers().isEmpty();
    }

    /** Whether a process that started later is running, ready or not. */
    boolean hasSuccessor() {
        return readMarkers().stream().anyMatch(marker -> compareStart(marker) > 0);
    }

    /** Whether a process that started earlier is running, ready or not. */
    boolean hasPredecessor() {
        return readMarkers().stream().anyMatch(marker -> compareStart(marker) < 0);
    }

    /** Whether a process that started later is ready for all clients of the shared address. */
    boolean hasReadySuccessor() {
        return readMarkers().stream().anyMatch(marker -> marker.ready && compareStart(marker) > 0);
    }

    /**
     * Positive if the other process started later than this one. The time in the name of a marker
     * decides only if the system does not tell, because the wall clock may have been stepped.
     */
    private int compareStart(ProcessMarker marker) {
        OptionalLong other = ProcessStart.sinceBoot(marker.processId);
        if (other.isPresent() && ownStart.isPresent()) {
            int order = Long.compare(other.getAsLong(), ownStart.getAsLong());
            if (order != 0) {
                return order;
            }
        }
        return Long.compare(marker.startedAtMillis, startedAtMillis);
    }

    /**
     * Publishes the number of descriptors that this process has open, and returns the sum of the
     * siblings' numbers; 0 without siblings.
     */
    int exchangeDescriptorCounts(int openDescriptors) {
        List<ProcessMarker> others =
                readMarkers().stream().filter(marker -> !marker.ready).toList();
        if (others.isEmpty()) {
            return 0;
        }
        try {
            publishDescriptorCount(sharedFolder.get(), openDescriptors);
        } catch (IOException e) {
            deduplicatedLog.warnOnce("cannot publish descriptor count: {0}", e);
        }
        return others.stream().mapToInt(marker -> readDescriptorCount(marker.file)).sum();
    }

    /**
     * Replaces the marker file atomically. Guards against a sibling that reads a half-written
     * number.
     */
    private void publishDescriptorCount(Path shared, int openDescriptors) throws IOException {
        Path temporary = markerFile(shared, TEMPORARY);
        Files.writeString(temporary, Integer.toString(openDescriptors));
        Files.move(temporary, markerFile(shared, RUNNING), StandardCopyOption.ATOMIC_MOVE);
    }

    private int readDescriptorCount(Path marker) {
        try {
            String text = Files.readString(marker);
            return text.isEmpty()
                    ? 0
                    : Integer.parseInt(text); // Empty until the first publication.
        } catch (IOException | NumberFormatException e) {
            deduplicatedLog.warnOnce("cannot read marker: {0}", e);
            return 0;
        }
    }

    private List<ProcessMarker> readMarkers() {
        List<ProcessMarker> markers = new ArrayList<>();
        if (sharedFolder.isEmpty()) {
            return markers;
        }
        try (Stream<Path> files = Files.list(sharedFolder.get())) {
            files.forEach(file -> addMarker(file, markers));
        } catch (IOException | UncheckedIOException e) {
            deduplicatedLog.warnOnce("cannot list markers: {0}", e);
        }
        return markers;
    }

    private void addMarker(Path file, List<ProcessMarker> markers) {
        Matcher name = MARKER_NAME.matcher(file.getFileName().toString());
        if (!name.matches()) {
            return;
        }
        long markedProcessId = Long.parseLong(name.group(2));
        if (markedProcessId != processId && ProcessHandle.of(markedProcessId).isPresent()) {
            markers.add(
                    new ProcessMarker(
                            name.group(1).equals(READY),
                            markedProcessId,
                            Long.parseLong(name.group(3)),
                            file));
        }
    }
}

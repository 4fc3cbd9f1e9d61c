package cairnbridge.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.Objects;

/** Detects whether a file has been replaced or modified since the previous poll. */
final class FileChanges {
    /**
     * File attributes that identify one version of the file. The file key differs when another file
     * has replaced this one, even if size and modification time are equal.
     */
    private record Version(FileTime modified, long size, Object key) {}

    private final Path file;
    private Version lastSeen;

    /** Takes the current version of the file as the baseline for the first poll. */
    FileChanges(Path file) {
        this.file = file;
        lastSeen = currentVersion();
    }

    /**
     * Returns whether the file differs from the version at the previous poll. An absent file counts
     * as unchanged, because it may be in the middle of a replacement.
     */
    boolean poll() {
        Version current = currentVersion();
        boolean changed = current != null && !Objects.equals(current, lastSeen);
        if (changed) {
            lastSeen = current;
        }
        return changed;
    }

    private Version currentVersion() {
        try {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            return new Version(
                    attributes.lastModifiedTime(), attributes.size(), attributes.fileKey());
        } catch (IOException e) {
            return null;
        }
    }
}

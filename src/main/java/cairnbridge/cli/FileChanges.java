package cairnbridge.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.Objects;

/** Tells whether a file has been replaced or written since it was last looked at. */
final class FileChanges {
    /**
     * What differs between two contents of a file; key tells a replaced file from a written one.
     */
    private record Version(FileTime modified, long size, Object key) {}

    private final Path file;
    private Version seen;

    /** Changes count from now on. */
    FileChanges(Path file) {
        this.file = file;
        seen = currentVersion();
    }

    /**
     * Whether the file differs from the last look. A file that is absent, as in the middle of its
     * replacement, has not changed yet.
     */
    boolean poll() {
        Version current = currentVersion();
        boolean changed = current != null && !Objects.equals(current, seen);
        if (changed) {
            seen = current;
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

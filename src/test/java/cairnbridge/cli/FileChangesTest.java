package cairnbridge.cli;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests which modifications of a file count as a change. */
class FileChangesTest {
    @TempDir private Path folder;

    @Test
    void anUnmodifiedFileHasNotChanged() throws IOException {
        FileChanges changes = new FileChanges(write("config", "{}"));
        assertFalse(changes.poll());
        assertFalse(changes.poll());
    }

    @Test
    void aReplacementWithTheSameSizeAndTimeIsReportedOnce() throws IOException {
        Path file = write("config", "{1}");
        FileTime time = Files.getLastModifiedTime(file);
        FileChanges changes = new FileChanges(file);
        Path next = write("next", "{2}");
        Files.setLastModifiedTime(next, time);
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
        assertTrue(changes.poll());
        assertFalse(changes.poll());
    }

    @Test
    void aFileModifiedInPlaceHasChanged() throws IOException {
        Path file = write("config", "{}");
        FileChanges changes = new FileChanges(file);
        Files.writeString(file, "{ }");
        assertTrue(changes.poll());
    }

    @Test
    void anAbsentFileIsReportedOnlyAfterItIsRecreated() throws IOException {
        Path file = write("config", "{}");
        FileChanges changes = new FileChanges(file);
        Files.delete(file);
        assertFalse(changes.poll());
        write("config", "{\"name\":1}");
        assertTrue(changes.poll());
    }

    private Path write(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text);
    }
}

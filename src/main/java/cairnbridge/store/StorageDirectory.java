package cairnbridge.store;

import java.io.IOException;
import java.util.List;

/**
 * A directory of files. Nothing is sure to survive a power loss before it has been synchronized:
 * file contents by {@link #sync}, file names by {@link #syncDirectory}. Every method may block for
 * as long as the disk takes.
 */
public interface StorageDirectory {
    /** The names of all files; empty if the directory does not exist. */
    List<String> listFiles() throws IOException;

    /**
     * Reads a whole file.
     *
     * @throws IOException also if the file is too large for a store, or is not a regular file
     */
    byte[] read(String name) throws IOException;

    /** Replaces the content of a file; creates the file if it does not exist. */
    void write(String name, byte[] bytes) throws IOException;

    /** Appends to a file; creates the file if it does not exist. */
    void append(String name, byte[] bytes) throws IOException;

    /** Forces the content of a file to the disk. */
    void sync(String name) throws IOException;

    /** Renames a file and replaces any file of the new name, atomically. */
    void rename(String from, String to) throws IOException;

    /** Forces the directory's entries, the names of its files, to the disk. */
    void syncDirectory() throws IOException;

    /** Deletes a file if it exists. */
    void delete(String name) throws IOException;
}

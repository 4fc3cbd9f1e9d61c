package cairnbridge.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/**
 * A directory on the local file system. The first write creates the directory and its parents. Not
 * thread-safe.
 */
public final class FileStorageDirectory implements StorageDirectory {
    private static final long MAX_FILE_BYTES = 64 << 20;

    private final Path directory;

    /**
     * Name of the file that was last appended to; null if no file is open. The file stays open,
     * because opening it costs more than an append.
     */
    private String openName;

    private FileChannel openFile;

    /** Uses the directory at this path, which need not exist yet. */
    public FileStorageDirectory(Path directory) {
        this.directory = directory;
    }

    @Override
    public List<String> listFiles() throws IOException {
        if (!Files.exists(directory)) {
            return List.of();
        }
        try (Stream<Path> files = Files.list(directory)) {
            return files.map(file -> file.getFileName().toString()).toList();
        }
    }

    @Override
    public byte[] read(String name) throws IOException {
        Path file = directory.resolve(name);
        // Guards against a pipe or a device of that name: reading it would block forever.
        if (!Files.isRegularFile(file) || Files.size(file) > MAX_FILE_BYTES) {
            throw new IOException("is not a regular file or is too large: " + file);
        }
        return Files.readAllBytes(file);
    }

    @Override
    public void write(String name, byte[] bytes) throws IOException {
        Files.createDirectories(directory);
        try (FileChannel file =
                FileChannel.open(
                        directory.resolve(name),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            writeFully(file, bytes);
        }
    }

    private static void writeFully(FileChannel file, byte[] bytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        while (buffer.hasRemaining()) {
            file.write(buffer);
        }
    }

    @Override
    public void append(String name, byte[] bytes) throws IOException {
        if (!name.equals(openName)) {
            closeOpenFile();
            Files.createDirectories(directory);
            openFile =
                    FileChannel.open(
                            directory.resolve(name),
                            StandardOpenOption.CREATE,
                            StandardOpenOption.WRITE,
                            StandardOpenOption.APPEND);
            openName = name;
        }
        writeFully(openFile, bytes);
    }

    @Override
    public void sync(String name) throws IOException {
        if (name.equals(openName)) {
            openFile.force(true);
            return;
        }
        try (FileChannel file =
                FileChannel.open(directory.resolve(name), StandardOpenOption.WRITE)) {
            file.force(true);
        }
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(
                directory.resolve(from),
                directory.resolve(to),
                StandardCopyOption.REPLACE_EXISTING,
                StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void syncDirectory() throws IOException {
        try (FileChannel names = FileChannel.open(directory, StandardOpenOption.READ)) {
            names.force(true);
        }
    }

    @Override
    public void delete(String name) throws IOException {
        if (name.equals(openName)) {
            closeOpenFile();
        }
        Files.deleteIfExists(directory.resolve(name));
    }

    private void closeOpenFile() throws IOException {
        if (openFile != null) {
            openName = null;
            openFile.close();
        }
    }
}

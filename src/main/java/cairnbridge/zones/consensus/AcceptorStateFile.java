package cairnbridge.zones.consensus;

import cairnbridge.store.StorageDirectory;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * Persists a voter's state across a restart of its process and a power loss. The file contains a
 * checksum and the encoded state; it is written under a temporary name, synced and renamed over the
 * old file. Guards against a voter that breaks a promise after a restart. All methods block on disk
 * I/O.
 */
public final class AcceptorStateFile {
    private static final String TEMPORARY_SUFFIX = ".new";

    private final StorageDirectory directory;
    private final String name;

    /** Uses the file with the given name in a directory. */
    public AcceptorStateFile(StorageDirectory directory, String name) {
        this.directory = directory;
        this.name = name;
    }

    /**
     * Reads the persisted state; {@link AcceptorState#EMPTY} if there is no file.
     *
     * @throws IOException if the file is damaged or cannot be read
     */
    public AcceptorState read() throws IOException {
        if (!directory.listFiles().contains(name)) {
            return AcceptorState.EMPTY;
        }
        ByteBuffer file = ByteBuffer.wrap(directory.read(name));
        if (file.remaining() < Long.BYTES) {
            throw new IOException("truncated acceptor state file: " + name);
        }
        long checksum = file.getLong();
        byte[] content = new byte[file.remaining()];
        file.get(content);
        if (checksum != checksum(content)) {
            throw new IOException("checksum mismatch in acceptor state file: " + name);
        }
        try {
            return ConsensusCodec.decodeState(content);
        } catch (IllegalArgumentException e) {
            throw new IOException("cannot decode acceptor state file: " + name, e);
        }
    }

    /**
     * Replaces the persisted state. After a normal return a power loss cannot restore the old
     * state; after an exception either state may be read.
     */
    public void write(AcceptorState state) throws IOException {
        byte[] content = ConsensusCodec.encode(state);
        byte[] file =
                ByteBuffer.allocate(Long.BYTES + content.length)
                        .putLong(checksum(content))
                        .put(content)
                        .array();
        String temporaryName = name + TEMPORARY_SUFFIX;
        directory.write(temporaryName, file);
        directory.sync(temporaryName);
        directory.rename(temporaryName, name);
        directory.syncDirectory();
    }

    private static long checksum(byte[] bytes) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes);
        return checksum.getValue();
    }
}

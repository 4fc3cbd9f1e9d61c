package cairnbridge.zones.agree;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.zip.CRC32C;

/**
 * Keeps a voter's register over its process's end: a checksum and the register, written beside the old one,
 * forced to the disk and put in its place whole. Guards against a voter that forgets, after a restart, what
 * it has promised.
 */
public final class RegisterFile {
    private final Path file;

    public RegisterFile(Path file) {
        this.file = file;
    }

    /** Empty where there is no file yet; an IOException where there is one that cannot be believed. */
    public Register read() throws IOException {
        if (!Files.exists(file)) {
            return Register.EMPTY;
        }
        ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(file));
        if (bytes.remaining() < Long.BYTES) {
            throw new IOException("is cut short: " + file);
        }
        long sum = bytes.getLong();
        byte[] rest = new byte[bytes.remaining()];
        bytes.get(rest);
        try {
            if (sum == sum(rest)) {
                return VoteCodec.readRegister(rest);
            }
        } catch (IllegalArgumentException e) {
            throw new IOException("is no register: " + file, e);
        }
        throw new IOException("has another checksum: " + file);
    }

    public void write(Register register) throws IOException {
        byte[] bytes = VoteCodec.write(register);
        Path fresh = file.resolveSibling(file.getFileName() + ".new");
        try (FileChannel out = FileChannel.open(fresh, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer all = ByteBuffer.allocate(Long.BYTES + bytes.length).putLong(sum(bytes)).put(bytes)
                    .flip();
            while (all.hasRemaining()) {
                out.write(all);
            }
            out.force(true);
        }
        Files.move(fresh, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    private static long sum(byte[] bytes) {
        CRC32C sum = new CRC32C();
        sum.update(bytes);
        return sum.getValue();
    }
}

package cairnbridge.store;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Frames records in a file. A frame is a magic number, the length of the content, a checksum
 * (CRC-32C, RFC 3720) over the length and the content, and the content.
 */
final class RecordFrame {
    private static final int MAGIC = 0x43425331;
    private static final int HEADER_BYTES = 3 * Integer.BYTES;
    private static final int MAX_CONTENT_BYTES = 32 << 20;

    private RecordFrame() {}

    static byte[] encode(byte[] content) {
        return ByteBuffer.allocate(HEADER_BYTES + content.length)
                .putInt(MAGIC)
                .putInt(content.length)
                .putInt(checksum(content, 0, content.length))
                .put(content)
                .array();
    }

    /** Returns the contents of all frames before the first damaged or incomplete one, in order. */
    static List<byte[]> decode(byte[] file) {
        List<byte[]> contents = new ArrayList<>();
        ByteBuffer in = ByteBuffer.wrap(file);
        while (in.remaining() >= HEADER_BYTES) {
            int magic = in.getInt();
            int length = in.getInt();
            int checksum = in.getInt();
            int start = in.position();
            boolean complete =
                    magic == MAGIC
                            && length >= 0
                            && length <= MAX_CONTENT_BYTES
                            && length <= in.remaining()
                            && checksum == checksum(file, start, length);
            if (!complete) {
                break;
            }
            contents.add(Arrays.copyOfRange(file, start, start + length));
            in.position(start + length);
        }
        return contents;
    }

    private static int checksum(byte[] bytes, int from, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(ByteBuffer.allocate(Integer.BYTES).putInt(length).flip());
        checksum.update(bytes, from, length);
        return (int) checksum.getValue();
    }
}

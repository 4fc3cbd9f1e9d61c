package cairnbridge.proxy;

import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Bytes that are collected in chunks, so that a long message is neither copied as it grows nor
 * needs one large array. Not thread-safe.
 */
final class ChunkedBytes {
    private static final int CHUNK_BYTES = 16 * 1024;
    private static final int FIRST_CHUNK_BYTES = 256;
    private static final int END_OF_STREAM = -1;

    private final List<byte[]> fullChunks = new ArrayList<>();
    private byte[] lastChunk = new byte[FIRST_CHUNK_BYTES];
    private int lastChunkBytes;
    private int size;

    /** Appends one byte. */
    void append(byte value) {
        if (lastChunkBytes == lastChunk.length) {
            addRoom();
        }
        lastChunk[lastChunkBytes++] = value;
        size++;
    }

    private void addRoom() {
        if (lastChunk.length < CHUNK_BYTES) {
            lastChunk = Arrays.copyOf(lastChunk, 2 * lastChunk.length);
        } else {
            fullChunks.add(lastChunk);
            lastChunk = new byte[CHUNK_BYTES];
            lastChunkBytes = 0;
        }
    }

    /** The number of bytes. */
    int size() {
        return size;
    }

    /** Reads the bytes as UTF-8; nothing may be appended from then on. */
    Reader reader() {
        return new InputStreamReader(new ChunkStream(), StandardCharsets.UTF_8);
    }

    /** The bytes as UTF-8 text. */
    String text() {
        byte[] all = new byte[size];
        int offset = 0;
        for (byte[] chunk : fullChunks) {
            System.arraycopy(chunk, 0, all, offset, chunk.length);
            offset += chunk.length;
        }
        System.arraycopy(lastChunk, 0, all, offset, lastChunkBytes);
        return new String(all, StandardCharsets.UTF_8);
    }

    private final class ChunkStream extends InputStream {
        private int chunkIndex;
        private int position;

        private boolean isLastChunk() {
            return chunkIndex == fullChunks.size();
        }

        private byte[] chunk() {
            return isLastChunk() ? lastChunk : fullChunks.get(chunkIndex);
        }

        private int bytesLeftInChunk() {
            return (isLastChunk() ? lastChunkBytes : chunk().length) - position;
        }

        private void skipReadChunks() {
            while (bytesLeftInChunk() == 0 && !isLastChunk()) {
                chunkIndex++;
                position = 0;
            }
        }

        @Override
        public int read() {
            skipReadChunks();
            return bytesLeftInChunk() == 0
                    ? END_OF_STREAM
                    : Byte.toUnsignedInt(chunk()[position++]);
        }

        @Override
        public int read(byte[] target, int offset, int length) {
            skipReadChunks();
            int count = Math.min(length, bytesLeftInChunk());
            if (count == 0) {
                return length == 0 ? 0 : END_OF_STREAM;
            }
            System.arraycopy(chunk(), position, target, offset, count);
            position += count;
            return count;
        }
    }
}

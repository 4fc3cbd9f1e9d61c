package cairnbridge.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/**
 * A view of a connection's input in which a subclass leaves out lines. It is used on the reactor's
 * thread while the library parses from it.
 */
abstract class FilteredInput implements SessionInputBuffer {
    private SessionInputBuffer input;

    /** Returns this view of the given input. */
    final SessionInputBuffer over(SessionInputBuffer source) {
        input = source;
        return this;
    }

    /** The input that is filtered. */
    final SessionInputBuffer input() {
        return input;
    }

    @Override
    public final boolean hasData() {
        return input.hasData();
    }

    @Override
    public final int length() {
        return input.length();
    }

    @Override
    public final int fill(ReadableByteChannel source) throws IOException {
        return input.fill(source);
    }

    @Override
    public final int read() {
        return input.read();
    }

    @Override
    public final int read(ByteBuffer destination, int maxBytes) {
        return input.read(destination, maxBytes);
    }

    @Override
    public final int read(ByteBuffer destination) {
        return input.read(destination);
    }

    @Override
    public final int read(WritableByteChannel destination, int maxBytes) throws IOException {
        return input.read(destination, maxBytes);
    }

    @Override
    public final int read(WritableByteChannel destination) throws IOException {
        return input.read(destination);
    }
}

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a stream: a head, and a body with a length or in chunks. */
final class Http {
    /** One message; header names are in lower case. */
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name);
        }

        /** The second word of the start line: a request's target, or a response's status. */
        String secondWord() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(secondWord());
        }

        String text() {
            return new String(body, StandardCharsets.US_ASCII);
        }
    }

    /** Where long bodies go, piece by piece, instead of into memory. */
    interface BodySink {
        void accept(byte[] bytes, int count) throws IOException;
    }

    private Http() {}

    /** Reads one message; null if the stream ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        Message head = readHead(in);
        if (head == null) {
            return null;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        readBody(in, head, (bytes, count) -> body.write(bytes, 0, count));
        return new Message(head.startLine(), head.headers(), body.toByteArray());
    }

    /** Reads a head; null if the stream ends before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        List<String> lines = new ArrayList<>();
        String line = readLine(in, true);
        while (line != null && !(line.isEmpty() && !lines.isEmpty())) {
            if (!line.isEmpty()) {
                lines.add(line);
            }
            line = readLine(in, lines.isEmpty());
        }
        if (lines.isEmpty()) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String field : lines.subList(1, lines.size())) {
            int colon = field.indexOf(':');
            headers.put(
                    field.substring(0, colon).toLowerCase(Locale.ROOT),
                    field.substring(colon + 1).trim());
        }
        return new Message(lines.get(0), headers, new byte[0]);
    }

    static void readBody(InputStream in, Message head, BodySink sink) throws IOException {
        if ("chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
            int size = Integer.parseInt(readLine(in, false).split(";")[0].trim(), 16);
            while (size > 0) {
                copy(in, size, sink);
                readLine(in, false);
                size = Integer.parseInt(readLine(in, false).split(";")[0].trim(), 16);
            }
            while (!readLine(in, false).isEmpty()) {
                // Trailers are not used.
            }
        } else if (head.header("content-length") != null) {
            copy(in, Long.parseLong(head.header("content-length")), sink);
        }
    }

    private static void copy(InputStream in, long length, BodySink sink) throws IOException {
        byte[] buffer = new byte[16 * 1024];
        long left = length;
        while (left > 0) {
            int count = in.read(buffer, 0, (int) Math.min(left, buffer.length));
            if (count < 0) {
                throw new EOFException("the body is cut off");
            }
            sink.accept(buffer, count);
            left -= count;
        }
    }

    private static String readLine(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0 && mayEnd) {
            return null;
        }
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("the head is cut off");
            }
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}

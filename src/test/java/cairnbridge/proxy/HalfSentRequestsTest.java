package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Hundreds of clients that each stop in the middle of a request. */
class HalfSentRequestsTest extends ProxyTestSupport {
    private static final int CLIENTS = 550;
    private static final int BODY_BYTES = 65_536;
    private static final int SENT_BYTES = 60_000;

    /** The lines of a long head, as many and as long as the proxy accepts. */
    private static final int LINES = 38;

    private static final int LINE_BYTES = 4000;

    /** The heap of a deployed proxy before its bodies were counted; the clients send more. */
    private static final String SMALL_HEAP =
            "export JAVA_TOOL_OPTIONS='-XX:+UseSerialGC -Xmx32m -Xmn6m"
                    + " -XX:+ExitOnOutOfMemoryError'";

    /** The time until a client that does not finish its request is closed, and some more. */
    private static final int MOST_MILLIS = 8000;

    private int listeningPort;

    private Socket connect() throws IOException {
        Socket client = new Socket("127.0.0.1", listeningPort);
        closeables.add(client);
        client.setSoTimeout(MOST_MILLIS);
        return client;
    }

    private static void sendBody(Socket client, String traceId, int sentBytes) throws IOException {
        String head =
                "PUT /loan/1 HTTP/1.1\r\nX-Trace-Id: %s\r\nX-Expires-In: 900m\r\nContent-Length: %d\r\n\r\n"
                        .formatted(traceId, BODY_BYTES);
        client.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        client.getOutputStream().write(new byte[sentBytes]);
    }

    /** Fails with a timeout if the proxy neither answers nor closes the connection. */
    private static void awaitAnswerOrClose(Socket client) throws IOException {
        try {
            readMessage(client);
        } catch (SocketException e) {
            // The connection was reset: unread bytes were still on their way.
        }
    }

    private static String lines(String name, int count) {
        return (name + ": " + "a".repeat(LINE_BYTES) + "\r\n").repeat(count);
    }

    /** Guards against the end of the process as hundreds of clients stop in a long head. */
    @ParameterizedTest
    @ValueSource(strings = {"unused header", "used header", "trailer"})
    void longHeadsOfHundredsOfClientsFitIntoASmallHeap(String kind) throws Exception {
        Process process = startWithSmallHeap();
        String halfSent =
                switch (kind) {
                    case "unused header" -> "GET /view/1 HTTP/1.1\r\n" + lines("X-Note", LINES);
                    case "used header" -> "GET /view/1 HTTP/1.1\r\n" + lines("X-Trace-Id", LINES);
                    default ->
                            "PUT /loan/1 HTTP/1.1\r\nX-Trace-Id: %s\r\nX-Expires-In: 900m\r\n"
                                    + "Transfer-Encoding: chunked\r\n\r\n0\r\n"
                                    + lines("X-Note", LINES);
                };
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Socket client = connect();
            clients.add(client);
            byte[] bytes = halfSent.formatted("bad-" + i).getBytes(StandardCharsets.US_ASCII);
            daemon(
                    () -> {
                        client.getOutputStream().write(bytes);
                        return null;
                    });
        }
        for (Socket client : clients) {
            awaitAnswerOrClose(client);
        }
        Socket wholeRequest = connect();
        sendBody(wholeRequest, "good", BODY_BYTES);
        String answer = readMessage(wholeRequest);

        assertTrue(process.isAlive(), "the process has ended");
        assertTrue(answer != null && statusCode(answer) == 200, answer);
    }

    private Process startWithSmallHeap() throws Exception {
        maxSockets = 1024;
        origin = new StubServer(request -> "200 OK||stored");
        discovery = new StubServer(request -> HEARTBEATS_ONLY);
        config(
                endpointListJson(1, true, endpointJson("o", origin.address(), "origin", "Ready")),
                discovery.address());
        Process process = startProcessAfter(SMALL_HEAP);
        listeningPort = portFromLog(logOf(process));
        return process;
    }

    /** Guards against the end of the process as hundreds of clients stop in a request. */
    @Test
    void halfSentRequestsOfHundredsOfClientsFitIntoASmallHeap() throws Exception {
        Process process = startWithSmallHeap();
        List<Socket> halfSent = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Socket client = connect();
            halfSent.add(client);
            sendBody(client, "bad-" + i, SENT_BYTES);
        }
        Socket wholeRequest = connect();
        sendBody(wholeRequest, "good", BODY_BYTES);
        String answer = readMessage(wholeRequest);

        assertTrue(process.isAlive(), "the process has ended");
        assertTrue(answer != null && Set.of(200, 503).contains(statusCode(answer)), answer);
        for (Socket client : halfSent) {
            awaitAnswerOrClose(client);
        }
        assertTrue(process.isAlive(), "the process has ended");
    }
}

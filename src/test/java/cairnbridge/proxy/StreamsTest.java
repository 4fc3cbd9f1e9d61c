package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Request and response bodies that are streamed because they are too long to be buffered. */
class StreamsTest extends ProxyTestSupport {
    private final HttpClient httpClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private HttpRequest.Builder request(String path, int ttlMillis) throws IOException {
        return HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + proxy.address().getPort() + path))
                .header("X-Trace-Id", "5d13")
                .header("X-Expires-In", ttlMillis + "m");
    }

    private static String generateText(int size) {
        StringBuilder text = new StringBuilder(size);
        for (int i = 0; text.length() < size; i++) {
            text.append(i).append(i % 7 == 0 ? '\n' : ' ');
        }
        text.setLength(size);
        return text.toString();
    }

    private static String encodeChunked(String body, int chunkSize) {
        StringBuilder chunks = new StringBuilder(2 * body.length());
        for (int offset = 0; offset < body.length(); offset += chunkSize) {
            String chunk = body.substring(offset, Math.min(body.length(), offset + chunkSize));
            chunks.append(Integer.toHexString(chunk.length()))
                    .append("\r\n")
                    .append(chunk)
                    .append("\r\n");
        }
        return chunks + "0\r\nX-Trailer: 1\r\n\r\n";
    }

    @ParameterizedTest
    @CsvSource({
        "length, 65537",
        "length, 3000000",
        "chunked, 3000000",
        "chunked, 300",
        "close, 300000",
        "close, 300"
    })
    void aResponseBodyOfAnyFramingAndLengthIsReturnedUnchanged(String framing, int size)
            throws Exception {
        String body = generateText(size);
        cacheHandler =
                request ->
                        switch (framing) {
                            case "length" -> "200 OK||" + body;
                            case "chunked" ->
                                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                            + encodeChunked(body, 1999);
                            default ->
                                    ANSWER_AND_CLOSE
                                            + "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
                                            + body;
                        };
        start();
        for (int i = 0; i < 3; i++) {
            assertEquals(
                    body,
                    httpClient
                            .send(
                                    request("/view/1", 900).build(),
                                    HttpResponse.BodyHandlers.ofString())
                            .body());
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aLongRequestBodyIsForwardedToTheOrigin(boolean chunked) throws Exception {
        String body = generateText(1_000_000).replace("\n", " ");
        start();
        HttpRequest.BodyPublisher publisher =
                chunked
                        ? HttpRequest.BodyPublishers.ofInputStream(
                                () ->
                                        new java.io.ByteArrayInputStream(
                                                body.getBytes(StandardCharsets.ISO_8859_1)))
                        : HttpRequest.BodyPublishers.ofString(body);
        for (int i = 0; i < 2; i++) {
            assertEquals(
                    200,
                    httpClient
                            .send(
                                    request("/loan/1", 900).PUT(publisher).build(),
                                    HttpResponse.BodyHandlers.ofString())
                            .statusCode());
            String received = bodyOf(origin.requests.get(i));
            assertEquals(
                    body,
                    chunked ? received.replaceAll("(^|\r\n)[0-9a-f]+\r\n(\r\n)?", "") : received);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {100_000, 1000})
    void theTtlOfARequestStartsAtTheLastByteOfItsBody(int size) throws Exception {
        originHandler = request -> SILENT;
        start();
        Socket slowClient = connectClient();
        slowClient
                .getOutputStream()
                .write(
                        ("PUT /loan/1 HTTP/1.1\r\n"
                                        + ttlHeader(300)
                                        + "Content-Length: "
                                        + size
                                        + "\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
        for (int i = 0; i < 10; i++) {
            slowClient.getOutputStream().write(new byte[size / 10]);
            Thread.sleep(60);
        }
        long lastByteNanos = System.nanoTime();
        assertEquals(502, statusCode(readMessage(slowClient)));
        long millis = (System.nanoTime() - lastByteNanos) / 1_000_000;
        assertTrue(millis > 100 && millis < 350, "answered after " + millis);
        assertEquals(1, origin.requests.size());
    }

    @Test
    void aStreamedResponseIsForwardedAsItArrivesAndNotTruncatedAtTheTtl() throws Exception {
        CountDownLatch sendRest = new CountDownLatch(1);
        cacheHandler = request -> "HTTP/1.1 200 OK;Content-Length: 200000;;" + "x".repeat(100_000);
        start();
        daemon(
                () -> {
                    sendRest.await();
                    cache.connections
                            .get(0)
                            .getOutputStream()
                            .write("x".repeat(100_000).getBytes());
                    return null;
                });
        HttpResponse<InputStream> response =
                httpClient.send(
                        request("/view/1", 300).build(), HttpResponse.BodyHandlers.ofInputStream());
        assertEquals(100_000, response.body().readNBytes(100_000).length);
        Thread.sleep(500);
        sendRest.countDown();
        assertEquals(100_000, response.body().readAllBytes().length);
        assertEquals(1, cache.requests.size());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK;Content-Length: 200000;;",
                "HTTP/1.1 200 OK;Transfer-Encoding: chunked;;186a1;"
            })
    void aTruncatedResponseFailsAtTheClient(String head) throws Exception {
        cacheHandler = request -> ANSWER_AND_CLOSE + head + "x".repeat(100_000);
        start();
        assertThrows(
                IOException.class,
                () ->
                        httpClient.send(
                                request("/view/1", 900).build(),
                                HttpResponse.BodyHandlers.ofString()));
        assertEquals(1, cache.requests.size());
    }

    @Test
    void aClientThatDoesNotReadAppliesBackpressureToTheNode() throws Exception {
        int size = 40_000_000; // More than the system buffers between node and client can hold.
        CountDownLatch responseWritten = new CountDownLatch(1);
        cacheHandler =
                request -> {
                    try {
                        cache.connections
                                .get(0)
                                .getOutputStream()
                                .write(
                                        ("HTTP/1.1 200 OK\r\nContent-Length: "
                                                        + size
                                                        + "\r\n\r\n"
                                                        + "x".repeat(size))
                                                .getBytes(StandardCharsets.ISO_8859_1));
                    } catch (IOException e) {
                        throw new AssertionError(e);
                    }
                    responseWritten.countDown();
                    return SILENT;
                };
        start();
        HttpResponse<InputStream> response =
                httpClient.send(
                        request("/view/1", 900).build(), HttpResponse.BodyHandlers.ofInputStream());
        Thread.sleep(700);
        assertEquals(1, responseWritten.getCount());
        assertEquals(size, response.body().readAllBytes().length);
        responseWritten.await();
    }

    @Test
    void aStreamedRequestBodyThatWasPartlySentIsNotSentAgain() throws Exception {
        AtomicInteger attempts = new AtomicInteger();
        originHandler =
                request -> attempts.incrementAndGet() == 1 ? "503 Full|X-Never-Ran: 1|" : HIT;
        start();
        HttpRequest.Builder put =
                request("/loan/1", 900)
                        .PUT(HttpRequest.BodyPublishers.ofString(generateText(200_000)));
        assertEquals(
                503,
                httpClient.send(put.build(), HttpResponse.BodyHandlers.ofString()).statusCode());
        assertEquals(1, attempts.get());
        assertEquals(
                200,
                httpClient.send(put.build(), HttpResponse.BodyHandlers.ofString()).statusCode());
    }

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 60000000;;", "Transfer-Encoding: chunked;;FFFFFFFF;"})
    void anOversizedRequestBodyIsRejectedInTime(String head) throws Exception {
        start();
        Socket client = connectClient();
        long startNanos = System.nanoTime();
        client.getOutputStream()
                .write(
                        ("PUT /loan/1 HTTP/1.1\r\n" + ttlHeader(900) + head.replace(";", "\r\n"))
                                .getBytes(StandardCharsets.ISO_8859_1));
        daemon(
                () -> {
                    while (true) {
                        client.getInputStream().readAllBytes();
                        client.close();
                    }
                });
        assertThrows(
                IOException.class,
                () -> {
                    for (int i = 0; i < 6000; i++) {
                        client.getOutputStream().write(new byte[10_000]);
                    }
                },
                "the whole body was read");
        assertTrue(System.nanoTime() - startNanos < 6_000_000_000L);
    }

    @Test
    void aRequestTargetInAbsoluteFormIsAccepted() throws Exception {
        start();
        assertEquals(
                200, statusCode(sendRequest("GET http://app.svc/view/1?a=2", ttlHeader(800), "")));
        assertTrue(
                cache.requests.get(0).startsWith("GET /view/1?a=2 HTTP/1.1\r\n"),
                cache.requests.get(0));
    }
}

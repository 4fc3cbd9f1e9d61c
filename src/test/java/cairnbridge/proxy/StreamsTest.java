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

/** Bodies that are too long to be gathered, both ways. */
class StreamsTest extends ProxyTestSupport {
    private final HttpClient web =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private HttpRequest.Builder request(String path, int ttl) throws IOException {
        return HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + proxy.address().getPort() + path))
                .header("X-Trace-Id", "5d13")
                .header("X-Expires-In", ttl + "m");
    }

    private static String text(int size) {
        StringBuilder text = new StringBuilder(size);
        for (int i = 0; text.length() < size; i++) {
            text.append(i).append(i % 7 == 0 ? '\n' : ' ');
        }
        text.setLength(size);
        return text.toString();
    }

    private static String chunked(String body, int size) {
        StringBuilder chunks = new StringBuilder(2 * body.length());
        for (int at = 0; at < body.length(); at += size) {
            String part = body.substring(at, Math.min(body.length(), at + size));
            chunks.append(Integer.toHexString(part.length()))
                    .append("\r\n")
                    .append(part)
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
    void anAnswerOfAnyFormAndLengthComesBackUnchanged(String form, int size) throws Exception {
        String body = text(size);
        cacheHandler =
                request ->
                        switch (form) {
                            case "length" -> "200 OK||" + body;
                            case "chunked" ->
                                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                            + chunked(body, 1999);
                            default ->
                                    ANSWER_AND_CLOSE
                                            + "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
                                            + body;
                        };
        start();
        for (int turn = 0; turn < 3; turn++) {
            assertEquals(
                    body,
                    web.send(request("/view/1", 900).build(), HttpResponse.BodyHandlers.ofString())
                            .body());
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aLongBodyPassesThroughToTheOrigin(boolean chunked) throws Exception {
        String body = text(1_000_000).replace("\n", " ");
        start();
        HttpRequest.BodyPublisher publisher =
                chunked
                        ? HttpRequest.BodyPublishers.ofInputStream(
                                () ->
                                        new java.io.ByteArrayInputStream(
                                                body.getBytes(StandardCharsets.ISO_8859_1)))
                        : HttpRequest.BodyPublishers.ofString(body);
        for (int turn = 0; turn < 2; turn++) {
            assertEquals(
                    200,
                    web.send(
                                    request("/loan/1", 900).PUT(publisher).build(),
                                    HttpResponse.BodyHandlers.ofString())
                            .statusCode());
            String seen = bodyOf(origin.requests.get(turn));
            assertEquals(
                    body, chunked ? seen.replaceAll("(^|\r\n)[0-9a-f]+\r\n(\r\n)?", "") : seen);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {100_000, 1000})
    void theTtlOfABodyRunsFromItsLastByte(int size) throws Exception {
        originHandler = request -> SILENT;
        start();
        Socket slow = connectClient();
        slow.getOutputStream()
                .write(
                        ("PUT /loan/1 HTTP/1.1\r\n"
                                        + ttlHeader(300)
                                        + "Content-Length: "
                                        + size
                                        + "\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
        for (int i = 0; i < 10; i++) {
            slow.getOutputStream().write(new byte[size / 10]);
            Thread.sleep(60);
        }
        long last = System.nanoTime();
        assertEquals(502, statusCode(readMessage(slow)));
        long millis = (System.nanoTime() - last) / 1_000_000;
        assertTrue(millis > 100 && millis < 350, "answered after " + millis);
        assertEquals(1, origin.requests.size());
    }

    @Test
    void anAnswerThatPassesThroughIsNotCutByTheTtlAndReachesItsClientAsItComes() throws Exception {
        CountDownLatch rest = new CountDownLatch(1);
        cacheHandler = request -> "HTTP/1.1 200 OK;Content-Length: 200000;;" + "x".repeat(100_000);
        start();
        daemon(
                () -> {
                    rest.await();
                    cache.connections
                            .get(0)
                            .getOutputStream()
                            .write("x".repeat(100_000).getBytes());
                    return null;
                });
        HttpResponse<InputStream> answer =
                web.send(
                        request("/view/1", 300).build(), HttpResponse.BodyHandlers.ofInputStream());
        assertEquals(100_000, answer.body().readNBytes(100_000).length);
        Thread.sleep(500);
        rest.countDown();
        assertEquals(100_000, answer.body().readAllBytes().length);
        assertEquals(1, cache.requests.size());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK;Content-Length: 200000;;",
                "HTTP/1.1 200 OK;Transfer-Encoding: chunked;;186a1;"
            })
    void anAnswerThatBreaksOffEndsSoThatItsClientCanTell(String head) throws Exception {
        cacheHandler = request -> ANSWER_AND_CLOSE + head + "x".repeat(100_000);
        start();
        assertThrows(
                IOException.class,
                () ->
                        web.send(
                                request("/view/1", 900).build(),
                                HttpResponse.BodyHandlers.ofString()));
        assertEquals(1, cache.requests.size());
    }

    @Test
    void aClientThatDoesNotReadHoldsTheNodeBack() throws Exception {
        int size = 40_000_000; // More than all buffers of the system between node and client hold.
        CountDownLatch given = new CountDownLatch(1);
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
                    given.countDown();
                    return SILENT;
                };
        start();
        HttpResponse<InputStream> answer =
                web.send(
                        request("/view/1", 900).build(), HttpResponse.BodyHandlers.ofInputStream());
        Thread.sleep(700);
        assertEquals(1, given.getCount());
        assertEquals(size, answer.body().readAllBytes().length);
        given.await();
    }

    @Test
    void aBodyThatIsLostIsPushedAgainOnlyIfNothingOfItWentOut() throws Exception {
        AtomicInteger pushes = new AtomicInteger();
        originHandler = request -> pushes.incrementAndGet() == 1 ? "503 Full|X-Never-Ran: 1|" : HIT;
        start();
        HttpRequest.Builder put =
                request("/loan/1", 900).PUT(HttpRequest.BodyPublishers.ofString(text(200_000)));
        assertEquals(503, web.send(put.build(), HttpResponse.BodyHandlers.ofString()).statusCode());
        assertEquals(1, pushes.get());
        assertEquals(200, web.send(put.build(), HttpResponse.BodyHandlers.ofString()).statusCode());
    }

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 60000000;;", "Transfer-Encoding: chunked;;FFFFFFFF;"})
    void aBodyWithoutMeasureIsRefusedInTime(String head) throws Exception {
        start();
        Socket rude = connectClient();
        long begun = System.nanoTime();
        rude.getOutputStream()
                .write(
                        ("PUT /loan/1 HTTP/1.1\r\n" + ttlHeader(900) + head.replace(";", "\r\n"))
                                .getBytes(StandardCharsets.ISO_8859_1));
        assertThrows(
                IOException.class,
                () -> {
                    daemon(
                            () -> {
                                while (true) {
                                    rude.getInputStream().readAllBytes();
                                    rude.close();
                                }
                            });
                    for (int i = 0; i < 6000; i++) {
                        rude.getOutputStream().write(new byte[10_000]);
                    }
                    throw new IOException("was read to its end");
                });
        assertTrue(System.nanoTime() - begun < 6_000_000_000L);
    }

    @Test
    void theAbsoluteFormOfATargetIsTaken() throws Exception {
        start();
        assertEquals(
                200, statusCode(sendRequest("GET http://app.svc/view/1?a=2", ttlHeader(800), "")));
        assertTrue(
                cache.requests.get(0).startsWith("GET /view/1?a=2 HTTP/1.1\r\n"),
                cache.requests.get(0));
    }
}

package cairnbridge.drill.standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** An HTTP server of the JDK's on a free loopback port; what it answers is the stand-in's. */
abstract class Http implements AutoCloseable {
    private final HttpServer server;
    private final ExecutorService threads =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task, "stand-in");
                        thread.setDaemon(true);
                        return thread;
                    });

    Http() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
        server.setExecutor(threads);
        server.createContext(
                "/",
                exchange -> {
                    try (exchange) {
                        answer(exchange);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        server.start();
    }

    abstract void answer(HttpExchange exchange) throws IOException, InterruptedException;

    public final InetSocketAddress address() {
        return server.getAddress();
    }

    static void say(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.getRequestBody().readAllBytes();
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) {
            exchange.getResponseBody().write(body);
        }
    }

    static String header(HttpExchange exchange, String name) {
        String value = exchange.getRequestHeaders().getFirst(name);
        return value == null ? "" : value;
    }

    /** The last part of the path. */
    static String key(HttpExchange exchange) {
        String path = exchange.getRequestURI().getPath();
        return path.substring(path.lastIndexOf('/') + 1);
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}

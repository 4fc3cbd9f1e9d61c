package cairnbridge.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

/**
 * A client of the soak test. It sends requests one after another on a persistent connection and
 * opens another when that is closed. {@link Disconnects} sets whether the client closes connections
 * itself.
 */
final class SoakClient implements Runnable {
    private static final int TTL_MILLIS = 1000;
    private static final int READ_TIMEOUT_MILLIS = 4000;
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;

    /** Guards against exhausting the machine's ephemeral ports, which other tests need. */
    private static final int RECONNECT_PAUSE_MILLIS = 3;

    /** When a client closes its connection itself. */
    enum Disconnects {
        /** The client keeps its connection open until the proxy closes it. */
        NEVER,
        /** The client closes its connection after each response. */
        AFTER_EACH_RESPONSE,
        /**
         * The client closes its connection before the response for one request in {@link
         * #DISCONNECT_INTERVAL} on average.
         */
        BEFORE_SOME_RESPONSES
    }

    /** One request in this many is a write, on average. */
    private static final int WRITE_INTERVAL = 4;

    private static final int DISCONNECT_INTERVAL = 5;
    private static final int LONG_IDLE_INTERVAL = 10;
    private static final int LONG_IDLE_MILLIS = 300;
    private static final int SHORT_IDLE_MILLIS = 6;

    private final String name;
    private final SoakChecker checker;
    private final int port;
    private final Disconnects disconnects;
    private final BooleanSupplier mayConnect;
    private final RandomGenerator random;
    private volatile boolean stopped;
    private int requestCount;

    /**
     * Creates a client that has sent no request yet.
     *
     * @param mayConnect whether a server currently accepts connections
     */
    SoakClient(
            String name,
            SoakChecker checker,
            int port,
            Disconnects kind,
            BooleanSupplier mayConnect,
            RandomGenerator random) {
        this.name = name;
        this.checker = checker;
        this.port = port;
        this.disconnects = kind;
        this.mayConnect = mayConnect;
        this.random = random;
    }

    /** Stops the client after its current request. */
    void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        try {
            while (!stopped) {
                if (mayConnect.getAsBoolean()) {
                    useConnection();
                }
                Thread.sleep(RECONNECT_PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void useConnection() throws InterruptedException {
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                    CONNECT_TIMEOUT_MILLIS);
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.setTcpNoDelay(true);
            long idleMillis = 0;
            boolean open = true;
            while (open && !stopped) {
                open =
                        exchange(socket, idleMillis)
                                && disconnects != Disconnects.AFTER_EACH_RESPONSE;
                idleMillis = open ? idle() : 0;
            }
        } catch (IOException e) {
            // Connection refused, as it happens between two processes.
        }
    }

    private long idle() throws InterruptedException {
        boolean isLong = random.nextInt(LONG_IDLE_INTERVAL) == 0;
        long startNanos = System.nanoTime();
        Thread.sleep(random.nextInt(isLong ? LONG_IDLE_MILLIS : SHORT_IDLE_MILLIS));
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /** Sends a request and returns whether the connection stays open after the response. */
    private boolean exchange(Socket socket, long idleMillis) {
        String traceId = name + "-" + requestCount++;
        boolean isWrite = random.nextInt(WRITE_INTERVAL) == 0;
        String line = (isWrite ? "PUT /loan/" : "GET /view/") + random.nextInt(50);
        String headers = "X-Trace-Id: " + traceId + "\r\nX-Expires-In: " + TTL_MILLIS + "m\r\n";
        checker.sent(traceId, !isWrite, TTL_MILLIS, idleMillis, System.nanoTime());
        try {
            ProxyTestSupport.send(socket, line, headers, isWrite ? "v" : "");
            checker.written(traceId, socket.getLocalPort(), System.nanoTime());
            if (disconnects == Disconnects.BEFORE_SOME_RESPONSES
                    && random.nextInt(DISCONNECT_INTERVAL) == 0) {
                TimeUnit.MICROSECONDS.sleep(random.nextInt(3000));
                socket.close();
                checker.clientDisconnected(traceId, System.nanoTime());
                return false;
            }
            String answer = ProxyTestSupport.readMessage(socket);
            if (answer == null) {
                checker.closed(traceId, System.nanoTime());
                return false;
            }
            checker.answered(traceId, System.nanoTime());
            if (checker.isLate(traceId)) {
                recordArrival(traceId, socket);
            }
            return !answer.contains("Connection: close");
        } catch (IOException e) {
            checker.closed(traceId, System.nanoTime());
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            checker.clientDisconnected(traceId, System.nanoTime());
            return false;
        }
    }

    private void recordArrival(String traceId, Socket socket) {
        try {
            checker.arrived(traceId, new TcpConnectionInfo(socket).lastArrivalNanos());
        } catch (IOException e) {
            // The proxy has reset the connection since: the arrival stays unknown.
        }
    }
}

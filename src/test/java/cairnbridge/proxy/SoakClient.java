package cairnbridge.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

/**
 * A client of the soak: uses its connection for as long as that stays open, then opens another. Of
 * some kinds it ends its connections itself.
 */
final class SoakClient implements Runnable {
    private static final int TTL_MILLIS = 1000;
    private static final int READ_TIMEOUT_MILLIS = 4000;
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;

    /** Guards against the machine's ports being used up, which other tests need. */
    private static final int RECONNECT_PAUSE_MILLIS = 3;

    /** How a client ends its connections itself. */
    enum Disconnects {
        /** Not at all. */
        NEVER,
        /** After each answer. */
        AFTER_EACH_RESPONSE,
        /** At times without waiting for the answer. */
        BEFORE_SOME_RESPONSES
    }

    /** Of so many requests one is a write, and one is left by a client that leaves at all. */
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
     * A client that has sent nothing.
     *
     * @param mayConnect whether new connections may be made at present
     */
    SoakClient(
            String name,
            SoakChecker judge,
            int port,
            Disconnects kind,
            BooleanSupplier mayConnect,
            RandomGenerator random) {
        this.name = name;
        this.checker = judge;
        this.port = port;
        this.disconnects = kind;
        this.mayConnect = mayConnect;
        this.random = random;
    }

    /** Ends it after the request that is under way. */
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
            long restedMillis = 0;
            boolean open = true;
            while (open && !stopped) {
                open = exchange(socket, restedMillis) && disconnects != Disconnects.AFTER_EACH_RESPONSE;
                restedMillis = open ? idle() : 0;
            }
        } catch (IOException e) {
            // Refused, as between two processes.
        }
    }

    private long idle() throws InterruptedException {
        boolean isLong = random.nextInt(LONG_IDLE_INTERVAL) == 0;
        long sinceNanos = System.nanoTime();
        Thread.sleep(random.nextInt(isLong ? LONG_IDLE_MILLIS : SHORT_IDLE_MILLIS));
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
    }

    /** Sends a request; whether its connection stays open behind the answer. */
    private boolean exchange(Socket socket, long restedMillis) {
        String traceId = name + "-" + requestCount++;
        boolean isWrite = random.nextInt(WRITE_INTERVAL) == 0;
        String line = (isWrite ? "PUT /loan/" : "GET /view/") + random.nextInt(50);
        String headers = "X-Trace-Id: " + traceId + "\r\nX-Expires-In: " + TTL_MILLIS + "m\r\n";
        checker.sent(traceId, !isWrite, TTL_MILLIS, restedMillis, System.nanoTime());
        try {
            ProxyTestSupport.send(socket, line, headers, isWrite ? "v" : "");
            if (disconnects == Disconnects.BEFORE_SOME_RESPONSES && random.nextInt(DISCONNECT_INTERVAL) == 0) {
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
}

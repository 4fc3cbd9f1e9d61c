package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Listeners that share an address: no connection is lost while one of them closes. */
@Timeout(20)
class AcceptorTest {
    private static final int CONNECTIONS = 32;
    private static final int BACKLOG = 256;

    /** So much is read fast that a system which adapts its buffer has enlarged it. */
    private static final int FAST_BYTES = 24_000_000;

    /** What Linux holds at most of the output of a client that sets no size. */
    private static final long CLIENT_BUFFER_BYTES = 4 << 20;

    private final List<Socket> clients = new ArrayList<>();
    private final List<Acceptor> acceptors = new ArrayList<>();
    private InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    @AfterEach
    void close() throws Exception {
        for (Socket each : clients) {
            each.close();
        }
        for (Acceptor each : acceptors) {
            each.stop();
        }
    }

    /** Sends its number, one byte, on each connection that it accepts. */
    private final class Listener {
        final Acceptor acceptor;

        Listener(int number, BooleanSupplier canAccept, Acceptor.AcceptCall acceptCall)
                throws IOException {
            acceptor =
                    new Acceptor(
                            address,
                            BACKLOG,
                            canAccept,
                            (each, notQueuedTicks) -> sendNumber(each, number),
                            new TickClock(),
                            acceptCall);
            address = acceptor.address();
            acceptors.add(acceptor);
            ProxyTestSupport.daemon(
                    () -> {
                        acceptor.run();
                        return null;
                    });
        }

        Listener(int number) throws IOException {
            this(number, () -> true, channel -> channel.accept());
        }

        private void sendNumber(SocketChannel channel, int number) {
            try {
                channel.write(ByteBuffer.wrap(new byte[] {(byte) number}));
            } catch (IOException e) {
                // The peer has closed already, as the probe of receivesNewConnections() may.
            }
        }
    }

    /**
     * Guards against a late answer to a body of which the systems hold more than is allowed for.
     */
    @Test
    void theSystemsHoldNoMoreOfABodyThanItsDeadlineAllowsFor() throws Exception {
        CompletableFuture<SocketChannel> accepted = new CompletableFuture<>();
        Acceptor acceptor =
                new Acceptor(
                        address,
                        BACKLOG,
                        () -> true,
                        (channel, notQueuedTicks) -> accepted.complete(channel),
                        new TickClock());
        acceptors.add(acceptor);
        Thread thread = new Thread(acceptor);
        thread.start();
        Socket client = new Socket(InetAddress.getLoopbackAddress(), acceptor.address().getPort());
        clients.add(client);
        SocketChannel channel = accepted.get();
        ProxyTestSupport.daemon(
                () -> {
                    client.getOutputStream().write(new byte[FAST_BYTES]);
                    return null;
                });
        ByteBuffer bytes = ByteBuffer.allocate(FAST_BYTES);
        while (bytes.hasRemaining()) {
            channel.read(bytes);
        }

        // The system counts twice what the option tells.
        long heldBytes = 2L * channel.getOption(StandardSocketOptions.SO_RCVBUF);
        channel.close();
        assertTrue(
                heldBytes + CLIENT_BUFFER_BYTES <= ReadPauses.MAX_UNREAD_BYTES,
                "held bytes: " + heldBytes);
    }

    private void connectAll() throws IOException {
        for (int i = 0; i < CONNECTIONS; i++) {
            clients.add(new Socket(address.getAddress(), address.getPort()));
        }
    }

    /** Reads from each client connection the number of the listener that accepted it. */
    private List<Integer> acceptingListeners() throws IOException {
        List<Integer> numbers = new ArrayList<>();
        for (Socket each : clients) {
            numbers.add(each.getInputStream().read());
        }
        return numbers;
    }

    private List<Integer> allFrom(int number) {
        return Collections.nCopies(clients.size(), number);
    }

    /** Guards against a reset of connections that arrive between the last accept and the close. */
    @Test
    void connectionsBetweenTheLastAcceptAndTheCloseGoToTheOtherListener() throws Exception {
        AtomicBoolean stopping = new AtomicBoolean();
        Listener older =
                new Listener(
                        1,
                        () -> true,
                        channel -> {
                            SocketChannel next = channel.accept();
                            if (next == null && stopping.get()) {
                                connectAll();
                            }
                            return next;
                        });
        Listener unused = new Listener(2);

        ConnectionDiverter.divert(older.acceptor);
        stopping.set(true);
        older.acceptor.stop();

        assertEquals(allFrom(2), acceptingListeners());
    }

    /** Guards against a reset of all connections left in the queue because one accept failed. */
    @Test
    void aFailedAcceptDuringStopLosesNoQueuedConnection() throws Exception {
        AtomicInteger failures = new AtomicInteger(2);
        AtomicBoolean open = new AtomicBoolean();
        Listener listener =
                new Listener(
                        1,
                        open::get,
                        channel -> {
                            if (failures.getAndDecrement() > 0) {
                                throw new IOException("Too many open files");
                            }
                            return channel.accept();
                        });
        connectAll();

        listener.acceptor.stop();

        assertEquals(allFrom(1), acceptingListeners());
    }

    @Test
    void aDivertWithoutAnotherListenerLosesNoConnection() throws Exception {
        Listener alone = new Listener(1);
        ConnectionDiverter.divert(alone.acceptor);

        connectAll();

        assertEquals(allFrom(1), acceptingListeners());
    }

    /**
     * Guards against selecting a listener by the order of starts: the system reorders the listeners
     * of an address when one of them closes.
     */
    @Test
    void afterOneOfThreeListenersClosesTheOlderDivertsToTheNewer() throws Exception {
        Listener first = new Listener(1);
        Listener second = new Listener(2);
        Listener unused = new Listener(3);
        ConnectionDiverter.divert(first.acceptor);
        first.acceptor.stop();

        ConnectionDiverter.divert(second.acceptor);
        connectAll();

        assertEquals(allFrom(3), acceptingListeners());
    }

    /** Guards against a filter that outlasts its handover and gives every connection to one. */
    @Test
    void aListenerOpenedAfterAHandoverSharesNewConnectionsWithTheOneThatStays() throws Exception {
        Listener older = new Listener(1);
        Listener staying = new Listener(2);
        ConnectionDiverter.divert(older.acceptor);
        older.acceptor.stop();

        ConnectionDiverter.endDiversion(staying.acceptor);
        Listener newer = new Listener(3);
        connectAll();

        List<Integer> accepting = acceptingListeners();
        assertTrue(accepting.contains(2), accepting.toString());
        assertTrue(accepting.contains(3), accepting.toString());
    }

    @Test
    void endingADiversionThatNeverBeganChangesNothing() throws Exception {
        Listener alone = new Listener(1);
        ConnectionDiverter.endDiversion(alone.acceptor);

        connectAll();

        assertEquals(allFrom(1), acceptingListeners());
    }

    @Test
    void aListenerDetectsWhetherItReceivesNewConnections() throws Exception {
        Listener older = new Listener(1);
        assertTrue(older.acceptor.receivesNewConnections());
        Listener younger = new Listener(2);
        assertEquals(2, ListenerGroup.find(address).orElseThrow().size());
        ConnectionDiverter.divert(older.acceptor);

        assertFalse(older.acceptor.receivesNewConnections());
        assertTrue(younger.acceptor.receivesNewConnections());
    }

    @Test
    void anAddressWithoutAListenerOfThisProcessHasNoGroup() throws Exception {
        Listener listener = new Listener(1);
        listener.acceptor.stop();

        assertTrue(ListenerGroup.find(address).isEmpty());
    }
}

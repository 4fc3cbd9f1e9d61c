package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Listeners that share an address, and the moment in which one of them is closed. */
@Timeout(20)
class AcceptorTest {
    private static final int CONNECTIONS = 32;
    private static final int BACKLOG = 256;

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

    /** Answers each connection with its name. */
    private final class Listener {
        final Acceptor acceptor;

        Listener(int name, BooleanSupplier canAccept, Acceptor.AcceptCall acceptCall)
                throws IOException {
            acceptor =
                    new Acceptor(
                            address, BACKLOG, canAccept, each -> answer(each, name), acceptCall);
            address = acceptor.address();
            acceptors.add(acceptor);
            ProxyTestSupport.daemon(
                    () -> {
                        acceptor.run();
                        return null;
                    });
        }

        Listener(int name) throws IOException {
            this(name, () -> true, channel -> channel.accept());
        }

        private void answer(SocketChannel channel, int name) {
            try {
                channel.write(ByteBuffer.wrap(new byte[] {(byte) name}));
            } catch (IOException e) {
                // A connection that has gone again, as that which a listener makes to itself.
            }
        }
    }

    private void connectAll() throws IOException {
        for (int i = 0; i < CONNECTIONS; i++) {
            clients.add(new Socket(address.getAddress(), address.getPort()));
        }
    }

    /** The names of the listeners that have answered, a connection each. */
    private List<Integer> answers() throws IOException {
        List<Integer> names = new ArrayList<>();
        for (Socket each : clients) {
            names.add(each.getInputStream().read());
        }
        return names;
    }

    private List<Integer> allFrom(int name) {
        return Collections.nCopies(clients.size(), name);
    }

    /** Guards against a reset of what comes between the last accept and the close. */
    @Test
    void whatComesBetweenTheLastAcceptAndTheCloseGoesToTheOtherListener() throws Exception {
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

        assertEquals(allFrom(2), answers());
    }

    /** Guards against the whole rest of the queue reset because one accept failed. */
    @Test
    void anAcceptThatFailsDuringTheStopLosesNothingOfTheQueue() throws Exception {
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

        assertEquals(allFrom(1), answers());
    }

    @Test
    void aListenerThatIsAloneKeepsItsConnections() throws Exception {
        Listener alone = new Listener(1);
        ConnectionDiverter.divert(alone.acceptor);

        connectAll();

        assertEquals(allFrom(1), answers());
    }

    /** Guards against a choice by the order of starts: the system moves listeners as one closes. */
    @Test
    void theOlderOfTheTwoThatAreLeftOfThreeDiverts() throws Exception {
        Listener first = new Listener(1);
        Listener second = new Listener(2);
        Listener unused = new Listener(3);
        ConnectionDiverter.divert(first.acceptor);
        first.acceptor.stop();

        ConnectionDiverter.divert(second.acceptor);
        connectAll();

        assertEquals(allFrom(3), answers());
    }

    @Test
    void aListenerKnowsWhetherNewConnectionsComeToIt() throws Exception {
        Listener older = new Listener(1);
        assertTrue(older.acceptor.receivesNewConnections());
        Listener younger = new Listener(2);
        assertEquals(2, ListenerGroup.find(address).orElseThrow().size());
        ConnectionDiverter.divert(older.acceptor);

        assertFalse(older.acceptor.receivesNewConnections());
        assertTrue(younger.acceptor.receivesNewConnections());
    }

    @Test
    void anAddressOnWhichThisProcessDoesNotListenHasNoGroup() throws Exception {
        Listener listener = new Listener(1);
        listener.acceptor.stop();

        assertTrue(ListenerGroup.find(address).isEmpty());
    }
}

package cairnbridge.scale.datapath;

import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Clients that ask at an even rate, each on a connection of its own; one that waits for an answer
 * asks later than it should, and then catches up.
 */
final class ClientLoad {
    private static final int CONNECTIONS = 16;
    private static final int KEYS = 100_000;
    private static final int OK = 200;
    private static final int MOST_TRIES = 3;
    private static final long WITHIN_SECONDS = 100;

    /**
     * What the clients have counted.
     *
     * @param served answers of status 200
     * @param notServed other answers
     * @param bodyBytes bytes of all answers' bodies
     * @param reopened connections opened anew after an answer that said that it closes
     * @param lost connections that the proxy closed with a request on them and no answer
     */
    record Counts(long served, long notServed, long bodyBytes, long reopened, long lost) {
        Counts plus(Counts other) {
            return new Counts(
                    served + other.served,
                    notServed + other.notServed,
                    bodyBytes + other.bodyBytes,
                    reopened + other.reopened,
                    lost + other.lost);
        }
    }

    /** One client, used by one thread. */
    private static final class Client {
        private final ClientLoad load;
        private final RandomGenerator chance;
        private ClientConnection connection;
        private long served;
        private long notServed;
        private long bodyBytes;
        private long reopened;
        private long lost;

        Client(ClientLoad load, long seed) {
            this.load = load;
            chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        }

        Counts ask(int requests) throws IOException {
            connection = new ClientConnection(load.proxy);
            try {
                long began = System.nanoTime();
                for (int request = 0; request < requests; request++) {
                    LockSupport.parkNanos(began + request * load.gapNanos - System.nanoTime());
                    askOnce(chance.nextInt(KEYS), chance.nextLong());
                }
            } finally {
                connection.close();
            }
            return new Counts(served, notServed, bodyBytes, reopened, lost);
        }

        private void askOnce(long key, long trace) throws IOException {
            for (int tries = 1; tries <= MOST_TRIES; tries++) {
                try {
                    count(connection.get(key, trace, load.ttlMillis));
                    return;
                } catch (EOFException | SocketException e) {
                    lost++;
                    reopen();
                }
            }
            throw new IOException("the proxy closed " + MOST_TRIES + " connections in a row");
        }

        private void count(ClientConnection.Answer answer) throws IOException {
            served += answer.status() == OK ? 1 : 0;
            notServed += answer.status() == OK ? 0 : 1;
            bodyBytes += answer.bodyBytes();
            if (answer.closes()) {
                reopened++;
                reopen();
            }
        }

        private void reopen() throws IOException {
            connection.close();
            connection = new ClientConnection(load.proxy);
        }
    }

    private final InetSocketAddress proxy;
    private final long gapNanos;
    private final long ttlMillis;

    /** perSecond is the rate of all clients together. */
    ClientLoad(InetSocketAddress proxy, int perSecond, long ttlMillis) {
        this.proxy = proxy;
        this.ttlMillis = ttlMillis;
        gapNanos = CONNECTIONS * 1_000_000_000L / perSecond;
    }

    /** So many requests in all; an IOException where one is not answered in time. */
    Counts run(int requests, long seed) throws IOException, InterruptedException {
        ExecutorService threads = Executors.newFixedThreadPool(CONNECTIONS);
        try {
            List<Future<Counts>> parts = new ArrayList<>();
            for (int client = 0; client < CONNECTIONS; client++) {
                int mine = requests / CONNECTIONS + (client < requests % CONNECTIONS ? 1 : 0);
                Client asking = new Client(this, seed * CONNECTIONS + client);
                parts.add(threads.submit(() -> asking.ask(mine)));
            }
            Counts counts = new Counts(0, 0, 0, 0, 0);
            for (Future<Counts> part : parts) {
                counts = counts.plus(part.get(WITHIN_SECONDS, TimeUnit.SECONDS));
            }
            return counts;
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("a client was not answered: " + e.getMessage(), e);
        } finally {
            threads.shutdownNow();
        }
    }
}

package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import cairnbridge.admin.ProxyMetrics;
import cairnbridge.config.ProxyConfig;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** The descriptors that clients may take up, and those that are kept for servers. */
class DescriptorBudgetTest extends ProxyTestSupport {
    private static final int CROWD = 150;
    private static final int SMALL_LIMIT = 96;

    /** Of 96 descriptors: the watch, and one for each attempt of a few requests. */
    private static final int RESERVED_FOR_SERVERS = 9;

    private final AtomicInteger connected = new AtomicInteger();
    private final AtomicBoolean exhausted = new AtomicBoolean();
    private final AtomicInteger mostPending = new AtomicInteger();
    private volatile ConnectionReactor reactor;

    /** Holds the reactor up, within one of its turns, until all that can be is accepted. */
    private void awaitFullQueue() {
        DescriptorBudget budget = reactor.budget();
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(100);
        while (budget.canAccept() && System.nanoTime() - deadlineNanos < 0) {
            Thread.onSpinWait();
        }
        mostPending.accumulateAndGet(budget.pendingAccepted(), Math::max);
        if (reactor.isExhausted()) {
            exhausted.set(true);
        }
    }

    /** Guards against a 503 because clients that are turned away hold what servers are owed. */
    @Test
    void clientsThatAreRejectedTakeNoneOfTheDescriptorsKeptForServers() throws Exception {
        maxSockets = SMALL_LIMIT;
        ProxyConfig config = config(endpointListJson(1, true), "127.0.0.1:9");
        ListenerState listenerState =
                new ListenerState(clock, List.of(), new ProxyMetrics(List.of()));
        EventQueue eventQueue = new EventQueue(SMALL_LIMIT);
        reactor =
                new ConnectionReactor(
                        config,
                        new ClientExchangeFactory(listenerState, eventQueue),
                        this::awaitFullQueue,
                        closed -> {},
                        listenerState,
                        Thread::new);
        opened.add(reactor::stop);
        for (int i = 0; i < RESERVED_FOR_SERVERS - 1; i++) {
            reactor.budget().opened();
        }
        reactor.start();
        reactor.listen(new InetSocketAddress("127.0.0.1", 0));

        InetSocketAddress address = reactor.address();
        for (int i = 0; i < CROWD; i++) {
            Socket client = new Socket(address.getAddress(), address.getPort());
            opened.add(client);
            connected.incrementAndGet();
        }
        waitUntil(() -> reactor.budget().canAccept());

        assertFalse(exhausted.get(), "one descriptor of those kept for servers is free");
        assertEquals(CROWD, connected.get());
        assertFalse(mostPending.get() > DescriptorBudget.MAX_PENDING_ACCEPTED);
    }

    @Test
    void theSmallestLimitBesideAnAdminEndpointStillAdmitsClients() throws Exception {
        maxSockets = 64;
        extraConfig = "\"admin_addr\":\"127.0.0.1:0\",";
        start();

        assertEquals(200, statusCode(sendRequest("GET /view/1", ttlHeader(800), "")));
    }
}

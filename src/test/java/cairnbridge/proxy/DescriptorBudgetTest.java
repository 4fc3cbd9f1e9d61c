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

/** The descriptors that clients may use, and those reserved for connections to servers. */
class DescriptorBudgetTest extends ProxyTestSupport {
    private static final int CLIENT_COUNT = 150;
    private static final int DESCRIPTOR_LIMIT = 96;

    /**
     * Reserved of 96 descriptors: for the discovery watch, and for the attempts of a few requests.
     */
    private static final int RESERVED_FOR_SERVERS = 9;

    private final AtomicInteger connected = new AtomicInteger();
    private final AtomicBoolean exhausted = new AtomicBoolean();
    private final AtomicInteger maxPending = new AtomicInteger();
    private volatile ConnectionReactor reactor;

    /**
     * Called on the reactor thread. Blocks it, for at most 100 ms, until as many connections are
     * accepted as may be pending.
     */
    private void delayReactor() {
        DescriptorBudget budget = reactor.budget();
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(100);
        while (budget.canAccept() && System.nanoTime() - deadlineNanos < 0) {
            Thread.onSpinWait();
        }
        maxPending.accumulateAndGet(budget.pendingAccepted(), Math::max);
        if (reactor.isExhausted()) {
            exhausted.set(true);
        }
    }

    /**
     * Guards against a 503 because connections of rejected clients use descriptors that are
     * reserved for connections to servers.
     */
    @Test
    void rejectedClientsUseNoDescriptorsReservedForServers() throws Exception {
        maxSockets = DESCRIPTOR_LIMIT;
        ProxyConfig config = config(endpointListJson(1, true), "127.0.0.1:9");
        ListenerState listenerState =
                new ListenerState(clock, List.of(), new ProxyMetrics(List.of()));
        EventQueue eventQueue = new EventQueue(DESCRIPTOR_LIMIT);
        reactor =
                new ConnectionReactor(
                        config,
                        new ClientExchangeFactory(listenerState, eventQueue),
                        this::delayReactor,
                        closed -> {},
                        listenerState,
                        Thread::new);
        closeables.add(reactor::stop);
        for (int i = 0; i < RESERVED_FOR_SERVERS - 1; i++) {
            reactor.budget().opened();
        }
        reactor.start();
        reactor.listen(new InetSocketAddress("127.0.0.1", 0));

        InetSocketAddress address = reactor.address();
        for (int i = 0; i < CLIENT_COUNT; i++) {
            Socket client = new Socket(address.getAddress(), address.getPort());
            closeables.add(client);
            connected.incrementAndGet();
        }
        waitUntil(() -> reactor.budget().canAccept());

        assertFalse(exhausted.get(), "the descriptors reserved for servers are used up");
        assertEquals(CLIENT_COUNT, connected.get());
        assertFalse(maxPending.get() > DescriptorBudget.MAX_PENDING_ACCEPTED);
    }

    @Test
    void theSmallestDescriptorLimitWithAnAdminEndpointAdmitsClients() throws Exception {
        maxSockets = 64;
        extraConfig = "\"admin_addr\":\"127.0.0.1:0\",";
        start();

        assertEquals(200, statusCode(sendRequest("GET /view/1", ttlHeader(800), "")));
    }
}

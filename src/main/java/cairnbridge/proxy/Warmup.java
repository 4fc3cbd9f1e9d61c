package cairnbridge.proxy;

import cairnbridge.admin.ProxyMetrics;
import cairnbridge.config.ProxyConfig;
import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Event.Endpoint;
import cairnbridge.decision.Event.ListScope;
import cairnbridge.decision.Event.NodeState;
import cairnbridge.decision.Ids.CellId;
import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.ZoneId;
import cairnbridge.decision.WarmStartState;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.http.message.BasicHttpRequest;

/**
 * Runs the whole path of an op some hundred times before the proxy says that it is ready, so that
 * the first clients do not pay for cold code. It has an owner and a module of its own: client and
 * cache are this proxy itself, over its own listener, told from real requests by a name that no
 * client can know.
 */
final class Warmup {
    /**
     * The more proxies there are, the fewer ops one has to expect at once; others wait for the
     * start.
     */
    private static final int MAX_REQUESTS = 1000;

    private static final int REQUESTS_OF_ALL_PROXIES = 1500;
    private static final int MIN_REQUESTS = 100;
    private static final int CLIENTS = 4;

    private static final long MAX_MILLIS = 2000;
    private static final byte[] VALUE = new byte[64];

    private final ConnectionReactor reactor;
    private final ListenerState listenerState;
    private final ProxyConfig config;
    private final EventQueue eventQueue = new EventQueue(8 * MAX_REQUESTS);
    private final Map<String, Integer> sightings = new ConcurrentHashMap<>();
    private final AtomicInteger remainingRequests;
    private final CountDownLatch clientsFinished = new CountDownLatch(CLIENTS);
    private volatile boolean finished;
    private final String traceIdPrefix = "warm-" + Long.toHexString(System.nanoTime()) + "-";

    /** hurried: nobody serves meanwhile at the place where this proxy is to. */
    Warmup(ProxyConfig config, ConnectionReactor sockets, ListenerState listen, boolean hurried) {
        int ops = REQUESTS_OF_ALL_PROXIES / config.settings().proxy().count();
        remainingRequests =
                new AtomicInteger(
                        hurried
                                ? Math.max(MIN_REQUESTS, Math.min(MAX_REQUESTS, ops))
                                : MAX_REQUESTS);
        this.config = config;
        this.reactor = sockets;
        this.listenerState = listen;
    }

    void run() throws IOException, InterruptedException {
        RequestCoordinator decide =
                new RequestCoordinator(
                        config,
                        eventQueue,
                        listenerState.clock,
                        reactor,
                        null,
                        WarmStartState.EMPTY,
                        new ProxyMetrics(config.names().categories()));
        Thread owner = new Thread(decide, "warm");
        owner.start();
        MachineKind origin = config.settings().origin().machineKind();
        // Guards against a rehearsal that reaches another process, which listens at the clients'
        // address too.
        Acceptor accept =
                reactor.createAcceptor(
                        new InetSocketAddress(config.network().listen().getAddress(), 0));
        Thread accepting = new Thread(accept, "warm-accept");
        accepting.setDaemon(true);
        accepting.start();
        InetSocketAddress here = accept.address();
        NodeId cache = new NodeId(1);
        NodeId store = new NodeId(2);
        postEndpointList(
                List.of(
                        createEntry(cache, new MachineKind(origin.value() + 1)),
                        createEntry(store, origin)),
                Map.of(cache, here, store, here));
        listenerState.warmup = this;
        for (int i = 0; i < CLIENTS; i++) {
            new WarmupClient(here).sendNext();
        }
        clientsFinished.await(MAX_MILLIS, TimeUnit.MILLISECONDS);
        remainingRequests.set(0);
        finished = true;
        accept.stop();
        postEndpointList(List.of(), Map.of());
        decide.stopWhenDrained();
        owner.join();
    }

    private static Endpoint createEntry(NodeId node, MachineKind kind) {
        return new Endpoint(node, NodeState.READY, kind, 1, 0, new CellId(0), new ZoneId(0));
    }

    private void postEndpointList(
            List<Endpoint> entries, Map<NodeId, InetSocketAddress> addresses) {
        eventQueue.post(
                new ProxyEvent.EndpointListChanged(
                        new Event.EndpointListReceived(ListScope.FULL, 1, entries), addresses));
    }

    boolean isWarmupRequest(String trace) {
        return trace.startsWith(traceIdPrefix);
    }

    /**
     * The first time an op comes from the client, then from its pushes: every fourth is missed
     * once.
     */
    void answerWarmup(ClientExchange exchange, long expires) {
        // Guards against a late one being taken for a client's: no cache may ever see it.
        int sight = finished ? 0 : sightings.merge(exchange.traceId, 1, Integer::sum);
        if (sight == 0) {
            exchange.rejectRetryable(1);
        } else if (sight == 2 && !exchange.write && requestKind(exchange.traceId) == 1) {
            exchange.answerNotFound();
        } else if (sight == 1) {
            eventQueue.post(new ProxyEvent.RequestArrived(exchange, expires));
        } else {
            exchange.answerSuccess(VALUE);
        }
    }

    /** Misses and writes run other ways through the module: a quarter of the ops each. */
    private static int requestKind(String trace) {
        return trace.charAt(trace.length() - 1) % 4;
    }

    /** One client, with one op at a time. */
    private final class WarmupClient {
        private final InetSocketAddress proxyAddress;
        private WarmupRequest latestRequest;

        WarmupClient(InetSocketAddress here) {
            this.proxyAddress = here;
        }

        void sendNext() {
            int number = remainingRequests.getAndDecrement();
            WarmupRequest ask = number > 0 ? new WarmupRequest(number) : null;
            UpstreamConnection kept = latestRequest == null ? null : latestRequest.connection;
            if (ask == null) {
                finish();
                return;
            }
            latestRequest = ask;
            if (kept != null && kept.isOpen()) {
                kept.send(ask);
            } else {
                reactor.connect(proxyAddress, config.network().connectTimeout(), ask);
            }
        }

        private void finish() {
            clientsFinished.countDown();
            if (latestRequest != null) {
                latestRequest.connection.close();
            }
        }

        private final class WarmupRequest extends HttpGet {
            private final String traceId;

            WarmupRequest(int number) {
                super(
                        proxyAddress,
                        "/"
                                + config.names().categories().get(0)
                                + "/"
                                + Integer.toHexString(number));
                traceId = traceIdPrefix + number;
                if (requestKind(traceId) == 2) {
                    setPutBody(VALUE);
                }
            }

            @Override
            void addHeaders(BasicHttpRequest request) {
                request.addHeader(ClientExchange.TRACE_ID_HEADER, traceId);
                request.addHeader(ClientExchange.TTL_HEADER, MAX_MILLIS + "m");
            }

            @Override
            void onStatus(int code) {
                // Whatever the answer, its path has been run.
            }

            @Override
            void onLine(String text) {
                // The value says nothing.
            }

            @Override
            void onEnd(AttemptOutcome how) {
                if (how == AttemptOutcome.SUCCESS) {
                    sendNext();
                } else {
                    finish();
                }
            }
        }
    }
}

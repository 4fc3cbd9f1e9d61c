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
 * Runs the whole path of a request some hundred times before the proxy is ready, so that the first
 * clients do not pay for code that is not compiled yet. It has a coordinator of its own on a thread
 * of its own: client and cache are this proxy itself, over a listener of its own. Its requests are
 * recognised by a prefix of the trace id that no client can know.
 *
 * <p>The thread of the start runs it; the reactor's thread answers its requests and sends the next.
 */
final class Warmup {
    private static final int MAX_REQUESTS = 1000;

    /**
     * The more proxies there are, the fewer requests one has to expect at once, and the more wait
     * for its start.
     */
    private static final int REQUESTS_OF_ALL_PROXIES = 1500;

    private static final int MIN_REQUESTS = 100;
    private static final int CLIENTS = 4;
    private static final int EVENTS_PER_REQUEST = 8;
    private static final long MAX_MILLIS = 2000;
    private static final long FINISH_MILLIS = 200;
    private static final byte[] VALUE = new byte[64];
    private static final NodeId CACHE = new NodeId(1);
    private static final NodeId ORIGIN = new NodeId(2);

    /** Misses and writes take other paths: each is one kind of these, a quarter of the requests. */
    private static final int REQUEST_KINDS = 4;

    private static final int MISS_KIND = 1;
    private static final int WRITE_KIND = 2;

    private final ConnectionReactor reactor;
    private final ListenerState listenerState;
    private final ProxyConfig config;
    private final EventQueue eventQueue = new EventQueue(EVENTS_PER_REQUEST * MAX_REQUESTS);

    /** How often a request was seen, by its trace id. */
    private final Map<String, Integer> sightings = new ConcurrentHashMap<>();

    private final AtomicInteger remainingRequests;
    private final CountDownLatch clientsFinished = new CountDownLatch(CLIENTS);
    private volatile boolean finished;
    private final String traceIdPrefix = "warm-" + Long.toHexString(System.nanoTime()) + "-";

    /**
     * Sends nothing yet.
     *
     * @param hurried whether no other process serves meanwhile at the address of this proxy
     */
    Warmup(
            ProxyConfig config,
            ConnectionReactor reactor,
            ListenerState listenerState,
            boolean hurried) {
        this.config = config;
        this.reactor = reactor;
        this.listenerState = listenerState;
        int shareOfRequests = REQUESTS_OF_ALL_PROXIES / config.settings().proxy().count();
        int hurriedRequests = Math.max(MIN_REQUESTS, Math.min(MAX_REQUESTS, shareOfRequests));
        remainingRequests = new AtomicInteger(hurried ? hurriedRequests : MAX_REQUESTS);
    }

    /** Returns when all requests are answered, or when time is up. */
    void run() throws IOException, InterruptedException {
        int descriptorsBefore = reactor.openDescriptors();
        RequestCoordinator coordinator = createCoordinator();
        Thread owner = new Thread(coordinator, "warm");
        owner.start();
        // Guards against a warm-up that reaches another process, which listens at the clients'
        // address too.
        Acceptor acceptor =
                reactor.createAcceptor(
                        new InetSocketAddress(config.network().listen().getAddress(), 0));
        Thread acceptorThread = new Thread(acceptor, "warm-accept");
        acceptorThread.setDaemon(true);
        acceptorThread.start();
        InetSocketAddress proxyAddress = acceptor.address();
        postEndpointList(
                listedNodes(NodeState.READY), Map.of(CACHE, proxyAddress, ORIGIN, proxyAddress));
        listenerState.warmup = this;
        for (int i = 0; i < CLIENTS; i++) {
            new WarmupClient(proxyAddress).sendNext();
        }
        // Whether all are answered or time is up, the proxy starts.
        boolean unused = clientsFinished.await(MAX_MILLIS, TimeUnit.MILLISECONDS);
        remainingRequests.set(0);
        // For the requests that are under way as time is up.
        unused = clientsFinished.await(FINISH_MILLIS, TimeUnit.MILLISECONDS);
        finished = true;
        acceptor.stop();
        // Guards against connections to itself that stay open, and count, until they are idle for
        // too long: those to nodes that are gone are closed at once.
        postEndpointList(listedNodes(NodeState.GONE), Map.of());
        coordinator.stopWhenDrained();
        owner.join();
        awaitClosed(descriptorsBefore);
    }

    /**
     * Returns once the reactor has closed the warm-up's connections; where clients have come
     * meanwhile, which count as well, after a short time.
     */
    private void awaitClosed(int descriptorsBefore) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FINISH_MILLIS);
        while (reactor.openDescriptors() > descriptorsBefore
                && System.nanoTime() - deadlineNanos < 0) {
            Thread.sleep(1);
        }
    }

    private RequestCoordinator createCoordinator() {
        return new RequestCoordinator(
                config,
                eventQueue,
                listenerState.clock,
                reactor,
                null,
                WarmStartState.EMPTY,
                new ProxyMetrics(config.names().categories()));
    }

    private List<Endpoint> listedNodes(NodeState state) {
        MachineKind originKind = config.settings().origin().machineKind();
        MachineKind cacheKind = new MachineKind(originKind.value() + 1);
        return List.of(
                createEntry(CACHE, state, cacheKind), createEntry(ORIGIN, state, originKind));
    }

    private static Endpoint createEntry(NodeId node, NodeState state, MachineKind kind) {
        return new Endpoint(node, state, kind, 1, 0, new CellId(0), new ZoneId(0));
    }

    private void postEndpointList(
            List<Endpoint> entries, Map<NodeId, InetSocketAddress> addresses) {
        eventQueue.post(
                new ProxyEvent.EndpointListChanged(
                        new Event.EndpointListReceived(ListScope.FULL, 1, entries), addresses));
    }

    /** Whether a request with this trace id is one of the warm-up. */
    boolean isWarmupRequest(String traceId) {
        return traceId.startsWith(traceIdPrefix);
    }

    /**
     * Answers a request of the warm-up. The first time it comes from the client, and goes to the
     * coordinator; then it comes from the attempts, the first of which is a miss for a quarter of
     * the requests.
     */
    void answerWarmup(ClientExchange exchange, long deadlineTicks) {
        // Guards against a late one being taken for a client's: no cache may ever see it.
        int sighting = finished ? 0 : sightings.merge(exchange.traceId, 1, Integer::sum);
        if (sighting == 0) {
            exchange.rejectRetryable(1);
        } else if (sighting == 2 && !exchange.write && requestKind(exchange.traceId) == MISS_KIND) {
            exchange.answerNotFound();
        } else if (sighting == 1) {
            eventQueue.requestArrived(exchange, deadlineTicks);
        } else {
            exchange.answerSuccess(VALUE);
        }
    }

    private static int requestKind(String traceId) {
        return traceId.charAt(traceId.length() - 1) % REQUEST_KINDS;
    }

    /** One client, with one request at a time; used by one thread at a time. */
    private final class WarmupClient {
        private final InetSocketAddress proxyAddress;
        private WarmupRequest latestRequest;

        WarmupClient(InetSocketAddress proxyAddress) {
            this.proxyAddress = proxyAddress;
        }

        void sendNext() {
            int number = remainingRequests.getAndDecrement();
            if (number <= 0) {
                finish();
                return;
            }
            WarmupRequest request = new WarmupRequest(number);
            UpstreamConnection open = latestRequest == null ? null : latestRequest.connection;
            latestRequest = request;
            if (open != null && open.isOpen()) {
                open.send(request);
            } else {
                reactor.connect(proxyAddress, config.network().connectTimeout(), request);
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
                if (requestKind(traceId) == WRITE_KIND) {
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
                // Whatever the answer, its path was run.
            }

            @Override
            void onLine(String text) {
                // The value does not matter.
            }

            @Override
            void onEnd(AttemptOutcome outcome) {
                if (outcome == AttemptOutcome.SUCCESS) {
                    sendNext();
                } else {
                    finish();
                }
            }
        }
    }
}

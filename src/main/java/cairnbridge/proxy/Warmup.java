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
 * Sends some hundred requests through the whole request path before the proxy is ready, so that the
 * first clients are not slowed down by code that is not compiled yet. It uses a separate
 * coordinator on a separate thread, and a separate listener at which this proxy also acts as cache
 * and origin. Its requests are recognised by a trace id prefix that no client can know.
 *
 * <p>The thread that starts the proxy runs it. The reactor's thread answers its requests and sends
 * the next ones.
 */
final class Warmup {
    private static final int MAX_REQUESTS = 1000;

    /**
     * The number of warm-up requests that the configured proxies share. With more proxies, each one
     * has to expect fewer client requests at once, and more proxies wait for its start.
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

    /**
     * The number of request kinds, with equal shares of the requests. Misses and writes take other
     * code paths than hits: each is one kind, a quarter of the requests.
     */
    private static final int REQUEST_KINDS = 4;

    private static final int MISS_KIND = 1;
    private static final int WRITE_KIND = 2;

    private final ConnectionReactor reactor;
    private final ListenerState listenerState;
    private final ProxyConfig config;
    private final EventQueue eventQueue = new EventQueue(EVENTS_PER_REQUEST * MAX_REQUESTS);

    /** How many times each request was received, by its trace id. */
    private final Map<String, Integer> receiptsByTraceId = new ConcurrentHashMap<>();

    private final AtomicInteger remainingRequests;
    private final CountDownLatch clientsFinished = new CountDownLatch(CLIENTS);
    private volatile boolean finished;
    private final String traceIdPrefix = "warm-" + Long.toHexString(System.nanoTime()) + "-";

    /**
     * Creates a warm-up, which {@link #run} runs.
     *
     * @param onlyProcess whether no other process serves at this proxy's address meanwhile, so that
     *     the warm-up has to be short
     */
    Warmup(
            ProxyConfig config,
            ConnectionReactor reactor,
            ListenerState listenerState,
            boolean onlyProcess) {
        this.config = config;
        this.reactor = reactor;
        this.listenerState = listenerState;
        int shareOfRequests = REQUESTS_OF_ALL_PROXIES / config.settings().proxy().count();
        int reducedRequests = Math.max(MIN_REQUESTS, Math.min(MAX_REQUESTS, shareOfRequests));
        remainingRequests = new AtomicInteger(onlyProcess ? reducedRequests : MAX_REQUESTS);
    }

    /** Returns once all requests are answered, or after a time limit. */
    void run() throws IOException, InterruptedException {
        int descriptorsBefore = reactor.openDescriptors();
        RequestCoordinator coordinator = createCoordinator();
        Thread owner = new Thread(coordinator, "warm");
        owner.start();
        // Guards against warm-up requests that reach another process: siblings listen on the
        // clients' address as well.
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
        // The proxy starts whether or not all requests were answered in time.
        boolean unused = clientsFinished.await(MAX_MILLIS, TimeUnit.MILLISECONDS);
        remainingRequests.set(0);
        // Waits for the requests that are in flight at the time limit.
        unused = clientsFinished.await(FINISH_MILLIS, TimeUnit.MILLISECONDS);
        finished = true;
        acceptor.stop();
        // Guards against connections of the proxy to itself that stay open, and count as
        // descriptors in use, until their idle timeout: connections to removed nodes are closed at
        // once.
        postEndpointList(listedNodes(NodeState.GONE), Map.of());
        coordinator.stopWhenDrained();
        owner.join();
        awaitClosed(descriptorsBefore);
    }

    /**
     * Waits until the reactor has closed the warm-up's connections. The wait is bounded, because
     * client connections that were opened meanwhile count as well.
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
     * Answers a warm-up request. On its first receipt it comes from the warm-up's client and is
     * passed to the coordinator. After that it comes from the coordinator's attempts; the first
     * attempt of a quarter of the requests is answered as a miss.
     */
    void answerWarmup(ClientExchange exchange, long deadlineTicks) {
        // Guards against a late warm-up request that is handled as a client's and reaches a cache:
        // after the warm-up it is rejected.
        int timesReceived =
                finished ? 0 : receiptsByTraceId.merge(exchange.traceId, 1, Integer::sum);
        if (timesReceived == 0) {
            exchange.rejectRetryable(1);
        } else if (timesReceived == 2
                && !exchange.write
                && requestKind(exchange.traceId) == MISS_KIND) {
            exchange.answerNotFound();
        } else if (timesReceived == 1) {
            eventQueue.requestArrived(exchange, deadlineTicks);
        } else {
            exchange.answerSuccess(VALUE);
        }
    }

    private static int requestKind(String traceId) {
        return traceId.charAt(traceId.length() - 1) % REQUEST_KINDS;
    }

    /** A client with one request in flight at a time; used by one thread at a time. */
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

        private final class WarmupRequest extends InternalRequest {
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
                // Any status will do: the request path was run.
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

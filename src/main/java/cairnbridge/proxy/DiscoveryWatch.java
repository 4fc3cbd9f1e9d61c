package cairnbridge.proxy;

import cairnbridge.admin.ProxyMetrics;
import cairnbridge.config.ConfigurationException;
import cairnbridge.config.JsonObject;
import cairnbridge.config.ProxyConfig;
import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Event.Endpoint;
import cairnbridge.decision.Event.ListScope;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.TimeBudget;
import cairnbridge.proxy.EndpointListParser.EndpointListMessage;
import cairnbridge.proxy.EndpointListParser.ListedEndpoint;
import cairnbridge.recovery.EndpointListAssembler;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.io.IOException;
import java.io.StringReader;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;
import java.util.logging.Logger;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.apache.hc.core5.http.nio.CapacityChannel;

/**
 * Follows discovery's endpoint list over a long-lived HTTP watch, which is opened again whenever it
 * ends or falls silent.
 */
final class DiscoveryWatch {
    private static final Logger LOG = Logger.getLogger(DiscoveryWatch.class.getName());
    private static final String LIST_PATH = "/api/targets";
    private static final int OK = 200;
    private static final Runnable NOTHING_TO_RELEASE = () -> {};

    private final ProxyConfig config;
    private final ConnectionReactor reactor;
    private final EventQueue eventQueue;

    /** One thread, mostly idle: it runs retries, liveness checks and received messages. */
    private final ScheduledExecutorService scheduler;

    private volatile InetSocketAddress discoveryAddress;
    private volatile DiscoveryCall activeCall;

    /**
     * Whether this proxy may call discovery now, given the milliseconds since its last call. In a
     * fleet, the calls are shared among the members.
     */
    private volatile LongPredicate pollPermission = millisSinceLastCall -> true;

    private long lastCallNanos = System.nanoTime();
    private long lastCallEndNanos = lastCallNanos;

    /**
     * Guards against synchronised calls of a fleet whose members were all killed at once: each wait
     * has a random part.
     */
    private final RandomGenerator random;

    private volatile long version;

    /** Lists from discovery with a lower version are not used; 0 if no version is known. */
    private volatile long versionFloor;

    /** Null if endpoint lists are not persisted across a power loss. */
    private EndpointListAssembler endpointListAssembler;

    private long backoffMillis = TimeBudget.MIN_BACKOFF_MILLIS;
    private boolean started;
    private boolean watchWanted;
    private boolean listCurrent;
    private boolean discoveryListReceived;
    private boolean watchLost;

    /** Open until the first call has delivered a list, was answered without one, or has ended. */
    private final CountDownLatch firstResult = new CountDownLatch(1);

    private final DeduplicatedLog deduplicatedLog = new DeduplicatedLog(LOG, "roster");

    private final EndpointListParser parser;

    /** The list of the configuration until it is published. */
    private Optional<EndpointListMessage> initialList;

    private final ListedNodes listedNodes;
    private final ProxyMetrics metrics;

    /**
     * Creates a watch, which {@link #start} opens.
     *
     * @param initialEndpoints the endpoint list of the configuration, in the form of discovery's
     *     messages
     */
    DiscoveryWatch(
            ProxyConfig config,
            JsonObject initialEndpoints,
            ConnectionReactor reactor,
            EventQueue eventQueue,
            ScheduledExecutorService scheduler,
            ProxyMetrics metrics) {
        this.metrics = metrics;
        this.config = config;
        listedNodes = new ListedNodes(config.settings().origin().machineKind());
        parser = new EndpointListParser(config.names(), deduplicatedLog);
        initialList =
                initialEndpoints.has("targets")
                        ? Optional.of(parser.convert(initialEndpoints, version))
                        : Optional.empty();
        this.discoveryAddress = config.network().discovery();
        this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(config.seed());
        this.reactor = reactor;
        this.eventQueue = eventQueue;
        this.scheduler = scheduler;
    }

    /**
     * Publishes the endpoint list of the configuration, if it has one, and opens the watch, unless
     * the settings say that the decision module has to subscribe first.
     */
    void start() {
        initialList.ifPresent(list -> publishList(list, ListScope.CACHED, NOTHING_TO_RELEASE));
        initialList = Optional.empty();
        scheduler.execute(
                () -> {
                    started = true;
                    watchWanted |= !config.settings().discovery().mustSubscribe();
                    if (watchWanted && activeCall == null) {
                        openWatch();
                    }
                });
        scheduler.scheduleWithFixedDelay(
                this::checkLiveness,
                TimeBudget.CHECK_INTERVAL_MILLIS,
                TimeBudget.CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Waits until the first list from discovery is queued for the coordinator thread, or until it
     * is clear that discovery has none or cannot be reached. Guards against requests routed by the
     * configuration's outdated list: a change that discovery has published before the start has to
     * apply to the first request.
     */
    void awaitFirstList() throws InterruptedException {
        firstResult.await(
                TimeBudget.CALL_TIMEOUT_MILLIS + TimeBudget.CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    void subscribe(boolean on) {
        scheduler.execute(
                () -> {
                    watchWanted = on;
                    // Guards against a connect before start(): the decision module may subscribe
                    // as soon as it is created, when the reactor does not run yet.
                    if (on && activeCall == null && started) {
                        openWatch();
                    } else if (!on && activeCall != null) {
                        activeCall.connection.close();
                    }
                });
    }

    /** Requests the whole list once, without a watch. */
    void fetch() {
        InetSocketAddress address = discoveryAddress;
        reactor.connect(
                address,
                config.network().connectTimeout(),
                new DiscoveryCall(address, LIST_PATH, false));
    }

    /** Sets the predicate that decides, before each retry, whether this proxy may call. */
    void setPollPermission(LongPredicate permission) {
        pollPermission = permission;
    }

    /** The version of the current list; any thread may call it. */
    long version() {
        return version;
    }

    /**
     * Whether the watch is open and its heartbeats are on time. A heartbeat that is half an
     * interval late makes it unhealthy, which is before it counts as silent and is closed.
     */
    boolean isWatchHealthy() {
        DiscoveryCall call = activeCall;
        return call != null
                && call.statusCode == OK
                && millisSince(call.lastReceivedNanos) < TimeBudget.HEARTBEAT_MILLIS * 3 / 2;
    }

    /** Sets where received lists are recorded for persistence; to be called before the start. */
    void setEndpointListAssembler(EndpointListAssembler assembler) {
        endpointListAssembler = assembler;
    }

    /** Sets the lowest version of discovery's lists that is used from now on. */
    void setVersionFloor(long floor) {
        versionFloor = floor;
    }

    /**
     * Uses a list that did not come from discovery, until discovery sends one. The text is JSON in
     * the form of discovery's messages.
     */
    void usePersistedList(String text) {
        scheduler.execute(
                () -> {
                    if (discoveryListReceived) {
                        return; // Discovery's own list takes precedence.
                    }
                    try {
                        publishList(
                                parser.parse(new StringReader(text), version),
                                ListScope.CACHED,
                                NOTHING_TO_RELEASE);
                        listCurrent = false; // The first call requests the whole list.
                        endpointListAssembler.lineReceived(text);
                    } catch (ConfigurationException e) {
                        LOG.warning("roster: a list from before cannot be used: " + e.getMessage());
                    }
                });
    }

    /** Closes the current call, so that the next one requests discovery's whole list. */
    void refetch() {
        scheduler.execute(
                () -> {
                    listCurrent = false;
                    if (activeCall != null) {
                        activeCall.connection.close();
                    }
                });
    }

    private void openWatch() {
        lastCallNanos = System.nanoTime();
        String after = listCurrent ? "&after=" + version : "";
        activeCall = new DiscoveryCall(discoveryAddress, LIST_PATH + "?watch=1" + after, true);
        reactor.connect(discoveryAddress, config.network().connectTimeout(), activeCall);
    }

    /**
     * Changes discovery's address: requests the whole list at the new address, and closes the watch
     * at the old one.
     */
    void setDiscoveryAddress(InetSocketAddress newAddress) {
        scheduler.execute(
                () -> {
                    if (newAddress.equals(discoveryAddress)) {
                        return;
                    }
                    discoveryAddress = newAddress;
                    listCurrent = false;
                    backoffMillis = TimeBudget.MIN_BACKOFF_MILLIS;
                    DiscoveryCall oldCall = activeCall;
                    if (watchWanted) {
                        openWatch();
                    }
                    if (oldCall != null) {
                        oldCall.connection.close();
                    }
                });
    }

    private static long millisSince(long nanoTime) {
        return (System.nanoTime() - nanoTime) / 1_000_000;
    }

    /**
     * Closes a call that has been silent too long, and handles it as ended. Guards against a watch
     * whose connection is open but dead: a live discovery writes at least an empty line as a
     * heartbeat. Also guards against a call that hangs while discovery is down, and keeps hanging
     * after discovery has returned.
     */
    private void checkLiveness() {
        DiscoveryCall call = activeCall;
        if (call == null) {
            return;
        }
        long timeoutMillis =
                call.statusCode == 0
                        ? TimeBudget.CALL_TIMEOUT_MILLIS
                        : TimeBudget.WATCH_SILENCE_MILLIS;
        if (millisSince(call.lastReceivedNanos) >= timeoutMillis) {
            LOG.warning(
                    "roster: the "
                            + (call.statusCode == 0 ? "call" : "watch")
                            + " is silent, dialling again");
            call.connection.close();
            // The next call does not wait until the connection is closed.
            handleCallEnded(call);
        }
    }

    private void handleCallEnded(DiscoveryCall call) {
        if (activeCall != call) {
            return;
        }
        activeCall = null;
        firstResult.countDown();
        lastCallEndNanos = System.nanoTime();
        // Guards against a long backoff that is left over from earlier failures: after a watch that
        // stayed open for a heartbeat interval, the backoff starts at its minimum again.
        if (call.statusCode == OK
                && millisSince(call.startedAtNanos) >= TimeBudget.HEARTBEAT_MILLIS) {
            backoffMillis = TimeBudget.MIN_BACKOFF_MILLIS;
        }
        if (config.settings().discovery().mustSubscribe()) {
            watchWanted = false;
            eventQueue.post(
                    new ProxyEvent.EndpointListChanged(
                            new Event.EndpointListReceived(ListScope.FAILED, version, List.of()),
                            Map.of()));
        } else if (watchWanted) {
            if (!watchLost) {
                watchLost = true;
                LOG.warning("roster: the watch is lost, version " + version + " stays");
            }
            scheduleRetry();
        }
    }

    /**
     * Schedules the next call after a backoff with jitter. Until the longest backoff has passed
     * since the last call ended, the poll permission may defer the call; after that it is made in
     * any case.
     */
    private void scheduleRetry() {
        long remainingMillis = TimeBudget.MAX_BACKOFF_MILLIS - millisSince(lastCallEndNanos);
        long waitMillis = backoffMillis / 2 + random.nextLong(backoffMillis / 2 + 1);
        backoffMillis = Math.min(TimeBudget.MAX_BACKOFF_MILLIS, backoffMillis * 2);
        scheduler.schedule(
                () -> {
                    if (watchWanted && activeCall == null) {
                        boolean due =
                                millisSince(lastCallEndNanos) >= TimeBudget.MAX_BACKOFF_MILLIS;
                        if (due || pollPermission.test(millisSince(lastCallNanos))) {
                            openWatch();
                        } else {
                            scheduleRetry();
                        }
                    }
                },
                Math.max(1, Math.min(waitMillis, remainingMillis)),
                TimeUnit.MILLISECONDS);
    }

    /**
     * Applies a message.
     *
     * @param applied runs once the message is no longer needed
     */
    private void handleMessage(DiscoveryCall call, ChunkedBytes text, Runnable applied) {
        // Guards against a late message from a previous discovery address: its versions cannot be
        // compared with those of the current address.
        if (!call.address.equals(discoveryAddress)) {
            applied.run();
            return;
        }
        try {
            EndpointListMessage message = parser.parse(text.reader(), version);
            if (message.version() < versionFloor) {
                eventQueue.post(new ProxyEvent.StaleListReceived(message.version()));
                applied.run();
                return;
            }
            discoveryListReceived = true;
            if (endpointListAssembler != null) {
                endpointListAssembler.lineReceived(text.text());
            }
            publishList(message, message.whole() ? ListScope.FULL : ListScope.CHANGES, applied);
            backoffMillis = TimeBudget.MIN_BACKOFF_MILLIS;
            if (watchLost) {
                watchLost = false;
                LOG.info("roster: the watch is back, version " + version);
            }
        } catch (ConfigurationException e) {
            applied.run();
            deduplicatedLog.warnOnce(
                    "line cannot be used, asking for the whole list, " + e.getMessage());
            // Guards against losing the change in this message: later messages do not repeat it, so
            // the next call requests the whole list.
            listCurrent = false;
            if (activeCall == call) {
                call.connection.close();
                handleCallEnded(call);
            }
        }
    }

    private void publishList(EndpointListMessage message, ListScope scope, Runnable applied) {
        List<Endpoint> entries = new ArrayList<>(message.endpoints().size());
        Map<NodeId, InetSocketAddress> addresses = new HashMap<>();
        for (ListedEndpoint listed : message.endpoints()) {
            Endpoint entry = listed.endpoint();
            entries.add(entry);
            listed.address().ifPresent(address -> addresses.put(entry.node(), address));
        }
        listedNodes.update(scope, message.endpoints());
        metrics.setListedNodes(listedNodes.cacheCount());
        version = message.version();
        listCurrent = true;
        eventQueue.post(
                new ProxyEvent.EndpointListChanged(
                        new Event.EndpointListReceived(scope, version, entries),
                        addresses,
                        applied));
        if (scope != ListScope.CACHED) {
            firstResult.countDown();
        }
    }

    /** The nodes on the list that was published last; any thread may query them. */
    ListedNodes listedNodes() {
        return listedNodes;
    }

    /** One call to discovery: the long-lived watch, or a single request for the list. */
    private final class DiscoveryCall extends InternalRequest {
        private final InetSocketAddress address;
        private final boolean isWatch;
        private final long startedAtNanos = System.nanoTime();

        private final DiscoveryMessageReader messageReader =
                new DiscoveryMessageReader(this::handleReceived, this::recordReceived);

        /** The messages that have been received and not been applied yet. */
        @GuardedBy("this")
        private int pendingMessages;

        /** The capacity of the connection while a message is pending; otherwise null. */
        @GuardedBy("this")
        private CapacityChannel waitingCapacity;

        private volatile long lastReceivedNanos = startedAtNanos;
        private volatile int statusCode;

        DiscoveryCall(InetSocketAddress address, String target, boolean isWatch) {
            super(address, target);
            this.address = address;
            this.isWatch = isWatch;
        }

        @Override
        void onStatus(int status) {
            statusCode = status;
            lastReceivedNanos = System.nanoTime();
            // Discovery sends a pending list together with the response head. If no list has
            // arrived a check interval later, there is none to wait for.
            scheduler.schedule(
                    firstResult::countDown,
                    TimeBudget.CHECK_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
        }

        private void recordReceived() {
            lastReceivedNanos = System.nanoTime();
        }

        @Override
        void onBody(ByteBuffer source) throws IOException {
            if (statusCode != OK) {
                super.onBody(source);
                return;
            }
            try {
                messageReader.read(source);
            } catch (IOException e) {
                deduplicatedLog.warnOnce(e.getMessage());
                throw e;
            }
        }

        @Override
        void onBodyEnd() {
            messageReader.end();
        }

        private void handleReceived(ChunkedBytes message) {
            synchronized (this) {
                pendingMessages++;
            }
            scheduler.execute(() -> handleMessage(this, message, this::messageApplied));
        }

        /**
         * Guards against lists that fill the heap because they arrive faster than they are applied:
         * no more is read until all received messages are applied.
         */
        @Override
        public void updateCapacity(CapacityChannel capacity) throws IOException {
            synchronized (this) {
                if (pendingMessages > 0) {
                    waitingCapacity = capacity;
                    return;
                }
            }
            super.updateCapacity(capacity);
        }

        private void messageApplied() {
            CapacityChannel capacity;
            synchronized (this) {
                pendingMessages--;
                if (pendingMessages > 0) {
                    return;
                }
                capacity = waitingCapacity;
                waitingCapacity = null;
            }
            if (capacity != null) {
                grantCapacity(capacity);
            }
        }

        private void grantCapacity(CapacityChannel capacity) {
            try {
                super.updateCapacity(capacity);
            } catch (IOException e) {
                LOG.fine("roster: the connection has failed: " + e.getMessage());
            }
        }

        @Override
        void onEnd(AttemptOutcome outcome) {
            connection.close();
            if (isWatch) {
                scheduler.execute(() -> handleCallEnded(this));
            } else if (statusCode != OK) {
                eventQueue.post(
                        new ProxyEvent.EndpointListChanged(
                                new Event.EndpointListReceived(ListScope.FAILED, 0, List.of()),
                                Map.of()));
            }
        }
    }
}

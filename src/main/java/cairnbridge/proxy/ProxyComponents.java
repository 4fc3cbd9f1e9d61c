package cairnbridge.proxy;

import cairnbridge.admin.ProxyMetrics;
import cairnbridge.config.ProxyConfig;
import cairnbridge.decision.WarmStartState;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;

/**
 * The components of one proxy, created and connected but not started.
 *
 * @param criticalThreads creates the threads without which the proxy cannot work
 * @param eventQueue the events that wait for the coordinator
 * @param siblings the other processes that serve at the same address
 * @param listenerState whether the proxy accepts requests
 * @param scheduler runs periodic and delayed tasks, on one daemon thread
 */
record ProxyComponents(
        ProxyConfig config,
        TickClock clock,
        CriticalThreads criticalThreads,
        EventQueue eventQueue,
        ProxyMetrics metrics,
        SiblingProcesses siblings,
        ListenerState listenerState,
        ConnectionReactor reactor,
        ScheduledExecutorService scheduler,
        DiscoveryWatch discoveryWatch,
        MaintenanceMarkers maintenanceMarkers,
        RequestCoordinator coordinator) {
    /**
     * The queue's capacity per connection. A connection has a few events in the queue at most, so
     * in practice the queue is never full.
     */
    private static final int EVENTS_PER_SOCKET = 8;

    private static final String SCHEDULER_THREAD_NAME = "roster";

    /**
     * Creates the components of one proxy.
     *
     * @param fullConfig the configuration; only the discovery watch gets its endpoint list, and
     *     drops it once it is published
     * @param previousRun what an earlier process learnt; used unless the configuration's warm start
     *     file is newer
     */
    static ProxyComponents create(
            ProxyConfig fullConfig,
            CriticalThreads criticalThreads,
            TickClock clock,
            WarmStartState previousRun) {
        ProxyConfig config = fullConfig.withoutInitialEndpoints();
        EventQueue eventQueue = new EventQueue(EVENTS_PER_SOCKET * config.network().maxSockets());
        ProxyMetrics metrics = new ProxyMetrics(config.names().categories());
        SiblingProcesses siblings = new SiblingProcesses(config.stateFolder());
        HeapAccount heapAccount = HeapAccount.ofProcess();
        ListenerState listenerState =
                new ListenerState(clock, config.names().categories(), metrics, heapAccount);
        ConnectionReactor reactor =
                new ConnectionReactor(config, eventQueue, listenerState, criticalThreads);
        ScheduledExecutorService scheduler = createScheduler();
        DiscoveryWatch discoveryWatch =
                new DiscoveryWatch(
                        config,
                        fullConfig.initialEndpoints(),
                        reactor,
                        eventQueue,
                        scheduler,
                        metrics);
        ListedNodes listedNodes = discoveryWatch.listedNodes();
        heapAccount.setNodeCount(listedNodes::count);
        heapAccount.setConnectionCount(reactor::openDescriptors);
        // Guards against rejecting, and so losing, a maintenance change while a starting process
        // has no endpoint list: until it has one, every node counts as listed.
        MaintenanceMarkers maintenanceMarkers =
                new MaintenanceMarkers(
                        config.stateFolder(),
                        eventQueue,
                        node -> listedNodes.contains(node) || listedNodes.isEmpty(),
                        siblings::hasSiblings);
        WarmStartState warmStartFile = config.readWarmStart();
        RequestCoordinator coordinator =
                new RequestCoordinator(
                        config,
                        eventQueue,
                        clock,
                        reactor,
                        discoveryWatch,
                        previousRun.recordedAt() > warmStartFile.recordedAt()
                                ? previousRun
                                : warmStartFile,
                        metrics);
        heapAccount.setRingPointCount(coordinator::ringPointCount);
        return new ProxyComponents(
                config,
                clock,
                criticalThreads,
                eventQueue,
                metrics,
                siblings,
                listenerState,
                reactor,
                scheduler,
                discoveryWatch,
                maintenanceMarkers,
                coordinator);
    }

    private static ScheduledExecutorService createScheduler() {
        return new ScheduledThreadPoolExecutor(
                1,
                task -> {
                    Thread thread = new Thread(task, SCHEDULER_THREAD_NAME);
                    thread.setDaemon(true);
                    return thread;
                },
                new ThreadPoolExecutor.DiscardPolicy());
    }
}

package cairnbridge.proxy;

import cairnbridge.config.ProxyConfig;
import cairnbridge.time.Ticks;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadFactory;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.AcceptedChannelRegistrar;
import org.apache.hc.core5.reactor.DefaultConnectingIOReactor;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOReactorShutdownException;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/**
 * The only I/O reactor of the process: serves client connections and opens connections to servers.
 * All connection events are handled on its single thread; each listening address has its own thread
 * that accepts clients.
 *
 * <p>Any thread may call its methods, except that {@link #start}, {@link #listen} and the methods
 * that stop it must not be called concurrently.
 */
public final class ConnectionReactor {
    private static final Logger LOG = Logger.getLogger(ConnectionReactor.class.getName());

    /** The attachment of an accepted connection: when its client had not connected yet. */
    private record AcceptedClient(long notQueuedTicks) {}

    private final DescriptorBudget budget;
    private final ClientConnections clients;
    private final ConnectionListener connectionListener;
    private final ThreadFactory threadFactory;
    private final TickClock clock;
    private final MemoryBudget responseHeads;
    private final PollTimes pollTimes;
    private final int backlog;
    private final DefaultConnectingIOReactor reactor;

    /** Present once {@link #listen} has opened the listener. */
    private volatile Optional<Acceptor> acceptor = Optional.empty();

    /** Whether this process has begun to divert new connections to another one. */
    @GuardedBy("this")
    private boolean diverting;

    private volatile boolean stopping;

    /** Creates a reactor that passes client requests to the coordinator through its event queue. */
    ConnectionReactor(
            ProxyConfig config,
            EventQueue eventQueue,
            ListenerState listenerState,
            ThreadFactory threadFactory) {
        this(
                config,
                new ClientExchangeFactory(listenerState, eventQueue),
                eventQueue,
                eventQueue,
                listenerState,
                threadFactory);
    }

    /**
     * Creates a reactor without starting it.
     *
     * @param handlerFactory creates the handler of each request of a client
     * @param descriptorBudgetListener notified when an idle connection to a server should be closed
     * @param connectionListener notified when connections to servers are closed
     * @param threadFactory creates the thread of the reactor and that of the listener
     */
    ConnectionReactor(
            ProxyConfig config,
            RequestHandlerFactory handlerFactory,
            DescriptorBudgetListener descriptorBudgetListener,
            ConnectionListener connectionListener,
            ListenerState listenerState,
            ThreadFactory threadFactory) {
        this.connectionListener = connectionListener;
        this.threadFactory = threadFactory;
        clock = listenerState.clock;
        responseHeads = listenerState.requestContext().answerBodies();
        pollTimes = new PollTimes(clock);
        backlog = config.network().maxSockets();
        budget = new DescriptorBudget(config.network());
        clients =
                new ClientConnections(
                        budget, handlerFactory, descriptorBudgetListener, listenerState);
        IOReactorConfig ioConfig =
                IOReactorConfig.custom()
                        .setIoThreadCount(1)
                        .setTcpNoDelay(true)
                        .setSoTimeout(Timeout.DISABLED)
                        .setSelectInterval(
                                TimeValue.ofMilliseconds(ArrivalBound.POLL_INTERVAL_MILLIS))
                        .build();
        reactor =
                new DefaultConnectingIOReactor(
                        this::createHandler,
                        ioConfig,
                        this::createReactorThread,
                        null,
                        this::handleReactorError,
                        null,
                        null);
    }

    private Thread createReactorThread(Runnable loop) {
        Thread created = threadFactory.newThread(loop);
        Thread reactorThread = new ReactorThread(created, pollTimes);
        reactorThread.setDaemon(created.isDaemon());
        return reactorThread;
    }

    /** Starts the reactor's thread. */
    public void start() {
        reactor.start();
    }

    /**
     * Opens a listener and starts a thread that accepts clients.
     *
     * @throws IOException if the address cannot be listened on
     */
    public void listen(InetSocketAddress address) throws IOException {
        Acceptor created = createAcceptor(address);
        acceptor = Optional.of(created);
        threadFactory.newThread(created).start();
    }

    /**
     * Opens a listener whose clients this reactor serves; the caller runs it on a separate thread.
     *
     * @throws IOException if the address cannot be listened on
     */
    public Acceptor createAcceptor(InetSocketAddress address) throws IOException {
        return new Acceptor(address, backlog, this::canAccept, this::handleAccepted, clock);
    }

    /** The address on which clients are accepted, once {@link #listen} has returned. */
    public InetSocketAddress address() throws IOException {
        return acceptor.orElseThrow().address();
    }

    private boolean canAccept() {
        return stopping || budget.canAccept();
    }

    private void handleAccepted(SocketChannel channel, long notQueuedTicks) {
        budget.addPendingAccepted();
        try {
            AcceptedChannelRegistrar.register(reactor, channel, new AcceptedClient(notQueuedTicks));
        } catch (IOReactorShutdownException e) {
            // The reactor has closed the channel.
            LOG.log(Level.FINE, "reactor: {0}", e.toString());
        }
    }

    private void handleReactorError(Exception cause) {
        // Stopping interrupts the reactor's loop, which reports the interrupt as an error.
        if (!stopping) {
            LOG.log(Level.WARNING, "reactor: {0}", cause.toString());
        }
    }

    private IOEventHandler createHandler(ProtocolIOSession session, Object attachment) {
        if (attachment instanceof ConnectionAttachment upstream) {
            return upstream.createHandler(session);
        }
        AcceptedClient client = (AcceptedClient) attachment;
        return clients.createHandler(
                session, new ArrivalBound(clock, pollTimes, client.notQueuedTicks()));
    }

    /**
     * Opens a connection to a server; the caller has counted it in the budget.
     *
     * @param attachment notified once the connection is established or has failed; creates the
     *     handler of its events
     */
    public Future<IOSession> connect(
            InetSocketAddress address, Timeout connectTimeout, ConnectionAttachment attachment) {
        // Uses the numeric address: the library would otherwise look up the host name, and no DNS
        // server is available.
        HttpHost host = new HttpHost(address.getHostString(), address.getPort());
        return reactor.connect(host, address, null, connectTimeout, attachment, attachment);
    }

    /**
     * Opens a connection to a server without a socket timeout. Counts the connection in the
     * descriptor budget without checking the limit.
     *
     * @param first the exchange that is started once the connection is established
     */
    UpstreamConnection connect(
            InetSocketAddress address, long connectTimeoutTicks, UpstreamExchange first) {
        return connect(address, connectTimeoutTicks, 0, first);
    }

    /**
     * Opens a connection to a server. Counts the connection in the descriptor budget without
     * checking the limit.
     *
     * @param socketTimeoutTicks the idle time after which the connection fails; 0 for no timeout
     * @param first the exchange that is started once the connection is established
     */
    UpstreamConnection connect(
            InetSocketAddress address,
            long connectTimeoutTicks,
            long socketTimeoutTicks,
            UpstreamExchange first) {
        budget.opened();
        UpstreamConnection connection =
                new UpstreamConnection(address, this, toTimeout(socketTimeoutTicks), first);
        connection.setPendingConnect(
                connect(
                        address,
                        toTimeout(connectTimeoutTicks),
                        new UpstreamAttachment(connection, responseHeads)));
        return connection;
    }

    private static Timeout toTimeout(long ticks) {
        return ticks == 0
                ? Timeout.DISABLED
                : Timeout.ofMilliseconds(Math.max(1, Ticks.toMillis(ticks)));
    }

    /**
     * Counts a connection to a server as closed.
     *
     * @param wasUp false if the connection was never established: it is in no pool then, and the
     *     listener is not notified
     */
    void connectionClosed(UpstreamConnection connection, boolean wasUp) {
        budget.closed();
        if (wasUp) {
            connectionListener.connectionClosed(connection);
        }
    }

    /** The budget of file descriptors for all connections. */
    public DescriptorBudget budget() {
        return budget;
    }

    /** The open client connections. */
    public ClientConnections clients() {
        return clients;
    }

    /** See {@link ClientConnections#count}. */
    int clientConnectionCount() {
        return clients.count();
    }

    /** See {@link DescriptorBudget#openDescriptors}. */
    int openDescriptors() {
        return budget.openDescriptors();
    }

    /** See {@link DescriptorBudget#setSiblingDescriptors}. */
    void setSiblingDescriptors(int descriptors) {
        budget.setSiblingDescriptors(descriptors);
    }

    /** See {@link DescriptorBudget#isExhausted}. */
    boolean isExhausted() {
        return budget.isExhausted();
    }

    /** See {@link DescriptorBudget#isUpstreamFull}. */
    boolean isUpstreamFull() {
        return budget.isUpstreamFull();
    }

    /** See {@link ClientConnections#closeOverdue}. */
    void closeOverdue() {
        clients.closeOverdue();
    }

    /** See {@link ClientConnections#closeIdleClients}. */
    void closeIdleClients() {
        clients.closeIdleClients();
    }

    /** See {@link ClientConnections#closeAllGracefully}. */
    void closeClientsGracefully() {
        clients.closeAllGracefully();
    }

    /** See {@link ConnectionDiverter#prepare}. */
    void prepareDiversion() {
        acceptor.ifPresent(ConnectionDiverter::prepare);
    }

    /** See {@link ConnectionDiverter#divert}; connections that arrive meanwhile are accepted. */
    void divertNewConnections() throws InterruptedException {
        synchronized (this) {
            diverting = true;
        }
        if (acceptor.isPresent()) {
            ConnectionDiverter.divert(acceptor.get());
        }
    }

    /**
     * See {@link ConnectionDiverter#endDiversion}; does nothing once this process diverts
     * connections itself.
     */
    synchronized void endDiversion() {
        if (!diverting) {
            acceptor.ifPresent(ConnectionDiverter::endDiversion);
        }
    }

    /** Closes the listener; returns once all connections in its accept queue are accepted. */
    public void stopListening() throws InterruptedException {
        stopping = true;
        // Empty if the proxy is stopped before its start has completed.
        if (acceptor.isPresent()) {
            acceptor.get().stop();
        }
    }

    /** Closes the listener and all connections at once. */
    public void stop() throws InterruptedException {
        stopListening();
        // Guards against a reset that discards the end of a complete response which the client has
        // not read yet.
        clients.releaseIdle();
        reactor.close(CloseMode.IMMEDIATE);
    }
}

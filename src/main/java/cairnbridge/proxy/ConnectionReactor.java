package cairnbridge.proxy;

import cairnbridge.config.ProxyConfig;
import cairnbridge.time.Ticks;
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
import org.apache.hc.core5.reactor.DefaultConnectingIOReactor;
import org.apache.hc.core5.reactor.Handover;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOReactorShutdownException;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/**
 * The one I/O reactor of the process: serves the connections that clients open, and opens those to
 * servers. All events of connections are handled on its single thread; clients are accepted on a
 * thread for each listening address.
 *
 * <p>Any thread may call its methods, but that {@link #start}, {@link #listen} and the methods that
 * stop it are called one after another.
 */
public final class ConnectionReactor {
    private static final Logger LOG = Logger.getLogger(ConnectionReactor.class.getName());
    private static final long SELECT_INTERVAL_MILLIS = 20;

    private final DescriptorBudget budget;
    private final ClientConnections clients;
    private final ConnectionListener connectionListener;
    private final ThreadFactory threadFactory;
    private final int backlog;
    private final DefaultConnectingIOReactor reactor;

    /** Present once it listens. */
    private Optional<Acceptor> acceptor = Optional.empty();

    private volatile boolean stopping;

    /** A reactor whose clients send requests to the coordinator behind a queue. */
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
     * A reactor that has not been started.
     *
     * @param handlerFactory creates the handler of each request of a client
     * @param budgetListener told if an idle connection to a server is to make way
     * @param connectionListener told of the ends of connections to servers
     * @param threadFactory creates the reactor's thread and the listener's
     */
    ConnectionReactor(
            ProxyConfig config,
            RequestHandlerFactory handlerFactory,
            BudgetListener budgetListener,
            ConnectionListener connectionListener,
            ListenerState listenerState,
            ThreadFactory threadFactory) {
        this.connectionListener = connectionListener;
        this.threadFactory = threadFactory;
        backlog = config.network().maxSockets();
        budget = new DescriptorBudget(config.network());
        clients = new ClientConnections(budget, handlerFactory, budgetListener, listenerState);
        IOReactorConfig ioConfig =
                IOReactorConfig.custom()
                        .setIoThreadCount(1)
                        .setTcpNoDelay(true)
                        .setSoTimeout(Timeout.DISABLED)
                        .setSelectInterval(TimeValue.ofMilliseconds(SELECT_INTERVAL_MILLIS))
                        .build();
        reactor =
                new DefaultConnectingIOReactor(
                        this::createHandler,
                        ioConfig,
                        threadFactory,
                        null,
                        this::handleReactorError,
                        null,
                        null);
    }

    /** Starts the reactor's thread. */
    public void start() {
        reactor.start();
    }

    /**
     * Accepts clients from now on, on a thread of its own.
     *
     * @throws IOException if the address cannot be listened on
     */
    public void listen(InetSocketAddress address) throws IOException {
        Acceptor created = createAcceptor(address);
        acceptor = Optional.of(created);
        threadFactory.newThread(created).start();
    }

    /**
     * Opens a listener whose clients are served like any others; the caller runs it on a thread of
     * its own.
     *
     * @throws IOException if the address cannot be listened on
     */
    public Acceptor createAcceptor(InetSocketAddress address) throws IOException {
        return new Acceptor(address, backlog, this::canAccept, this::handleAccepted);
    }

    /** The address on which clients are accepted, once {@link #listen} has returned. */
    public InetSocketAddress address() throws IOException {
        return acceptor.orElseThrow().address();
    }

    private boolean canAccept() {
        return stopping || budget.canAccept();
    }

    private void handleAccepted(SocketChannel channel) {
        budget.addPendingAccepted();
        try {
            Handover.give(reactor, channel);
        } catch (IOReactorShutdownException e) {
            // The reactor closes what it was given itself.
            LOG.log(Level.FINE, "reactor: {0}", e.toString());
        }
    }

    private void handleReactorError(Exception cause) {
        // A stop interrupts the reactor's loop, which then reports what it was asked for.
        if (!stopping) {
            LOG.log(Level.WARNING, "reactor: {0}", cause.toString());
        }
    }

    private IOEventHandler createHandler(ProtocolIOSession session, Object attachment) {
        if (attachment instanceof ConnectionAttachment upstream) {
            return upstream.createHandler(session);
        }
        return clients.createHandler(session);
    }

    /**
     * Opens a connection to a server; the caller has counted it in the budget.
     *
     * @param attachment told once the connection is up or has failed, and handles its events
     */
    public Future<IOSession> connect(
            InetSocketAddress address, Timeout connectTimeout, ConnectionAttachment attachment) {
        // With the digits of the address: the library would otherwise look up its name, and there
        // is no DNS to ask.
        HttpHost host = new HttpHost(address.getHostString(), address.getPort());
        return reactor.connect(host, address, null, connectTimeout, attachment, attachment);
    }

    /**
     * Opens a connection to a server that may be silent for any time; the budget is counted, not
     * checked.
     *
     * @param first the request that is sent as soon as the connection is up
     */
    UpstreamConnection connect(
            InetSocketAddress address, long connectTimeoutTicks, UpstreamExchange first) {
        return connect(address, connectTimeoutTicks, 0, first);
    }

    /**
     * Opens a connection to a server; the budget is counted, not checked.
     *
     * @param socketTimeoutTicks the time of silence after which it fails; 0 for none
     * @param first the request that is sent as soon as the connection is up
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
                        new UpstreamAttachment(connection)));
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
     * @param wasUp false for one that never came up: no pool has it, so that nobody is told
     */
    void connectionClosed(UpstreamConnection connection, boolean wasUp) {
        budget.closed();
        if (wasUp) {
            connectionListener.connectionClosed(connection);
        }
    }

    /** The file descriptors of all connections. */
    public DescriptorBudget budget() {
        return budget;
    }

    /** The connections of clients. */
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
    void finishClients() {
        clients.closeAllGracefully();
    }

    /** See {@link ConnectionDiverter#prepare}. */
    void prepareDiversion() {
        acceptor.ifPresent(ConnectionDiverter::prepare);
    }

    /** See {@link ConnectionDiverter#divert}; connections that come meanwhile are accepted. */
    void divertNewConnections() throws InterruptedException {
        if (acceptor.isPresent()) {
            ConnectionDiverter.divert(acceptor.get());
        }
    }

    /** Accepts no more connections; returns once those that wait in the system are accepted. */
    public void stopListening() throws InterruptedException {
        stopping = true;
        // Empty for a stop that comes before the start is over.
        if (acceptor.isPresent()) {
            acceptor.get().stop();
        }
    }

    /** Closes the listener and all connections at once. */
    public void stop() throws InterruptedException {
        stopListening();
        // Guards against a reset that takes along what a client has not yet read, where nothing is
        // owed.
        clients.releaseLingering();
        reactor.close(CloseMode.IMMEDIATE);
    }
}

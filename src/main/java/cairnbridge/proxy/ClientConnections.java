package cairnbridge.proxy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/**
 * The open client connections. Closes overdue connections, and idle ones when few descriptors are
 * free. Any thread may call the methods that close connections or count them; the others are called
 * on the reactor's thread.
 */
public final class ClientConnections {
    private final DescriptorBudget budget;
    private final RequestHandlerFactory handlerFactory;
    private final DescriptorBudgetListener descriptorBudgetListener;
    private final ListenerState listenerState;
    private final Set<ClientConnection> connections = ConcurrentHashMap.newKeySet();

    /** Sessions in a lingering close, the longest waiting first. Reactor's thread only. */
    private final Deque<LingeringSession> lingeringSessions = new ArrayDeque<>();

    private volatile long lastCheckNanos = System.nanoTime();

    /**
     * Creates an empty set of connections.
     *
     * @param handlerFactory creates the handler of each request
     * @param descriptorBudgetListener notified when an idle connection to a server should be closed
     */
    ClientConnections(
            DescriptorBudget budget,
            RequestHandlerFactory handlerFactory,
            DescriptorBudgetListener descriptorBudgetListener,
            ListenerState listenerState) {
        this.budget = budget;
        this.handlerFactory = handlerFactory;
        this.descriptorBudgetListener = descriptorBudgetListener;
        this.listenerState = listenerState;
    }

    /** Creates the event handler of an accepted connection. */
    IOEventHandler createHandler(ProtocolIOSession session, ArrivalBound arrivalBound) {
        LingeringSession client = new LingeringSession(session, this::trackLingering);
        HeadMemory headMemory = new HeadMemory(listenerState.requestContext().requestBodies());
        RequestHandlers requestHandlers =
                new RequestHandlers(client, handlerFactory, arrivalBound, headMemory::release);
        RequestHeadParser parser =
                new RequestHeadParser(
                        requestHandlers::checkPipelined,
                        requestHandlers::recordPipelined,
                        headMemory);
        ServerDuplexer duplexer = new ServerDuplexer(client, requestHandlers, parser);
        return new ClientConnection(client, duplexer, requestHandlers, headMemory, this);
    }

    /** The number of connections that are open, or accepted and not yet admitted. */
    public int count() {
        return connections.size() + budget.pendingAccepted();
    }

    /** Adds a connection that the reactor has registered; {@link #enforceBudget} is called next. */
    void add(ClientConnection client) {
        budget.opened();
        connections.add(client);
    }

    /** Removes a connection that is closed. */
    void remove(ClientConnection client, LingeringSession session) {
        lingeringSessions.remove(session);
        if (connections.remove(client)) {
            int openDescriptors = budget.closed();
            listenerState.setKeepAliveSuspended(openDescriptors >= budget.keepAliveLimit());
            if (client.isRejected()) {
                budget.removePendingAccepted();
            }
        }
    }

    /**
     * Admits or rejects a connection that has just been added. Guards against running out of
     * descriptors: first closes lingering or idle connections, and rejects the new one only if that
     * is not enough.
     */
    void enforceBudget(ClientConnection latest) {
        int openDescriptors = budget.openDescriptors();
        listenerState.setKeepAliveSuspended(openDescriptors >= budget.keepAliveLimit());
        if (openDescriptors >= budget.fullLimit()) {
            freeDescriptors();
        }
        if (budget.isExhausted() || connections.size() > budget.maxClients()) {
            // The descriptor stays in use until the end of the select cycle, so the connection
            // stays counted as pending.
            latest.reject();
        } else {
            // Comes last: guards against a shutdown that sees no client between the two counts.
            budget.removePendingAccepted();
        }
    }

    private void freeDescriptors() {
        if (lingeringSessions.isEmpty()) {
            closeIdleClient();
            descriptorBudgetListener.descriptorBudgetExceeded();
        } else {
            // Each session is removed from the queue when it is disconnected.
            lingeringSessions.forEach(LingeringSession::release);
        }
    }

    /** Closes the connection that has been idle longest, if any is idle. */
    private void closeIdleClient() {
        ClientConnection oldest = null;
        for (ClientConnection client : connections) {
            if (client.isClosable()
                    && (oldest == null || client.idleNanos() > oldest.idleNanos())) {
                oldest = client;
            }
        }
        if (oldest != null) {
            oldest.closeGracefully();
        }
    }

    /** Guards against descriptors held by clients that have their response and do not close. */
    private void trackLingering(LingeringSession session) {
        lingeringSessions.add(session);
        if (lingeringSessions.size() > budget.maxLingering()) {
            lingeringSessions.remove().release();
        }
    }

    /** Closes overdue connections and, in standby, idle ones; called periodically. */
    public void closeOverdue() {
        long nowNanos = System.nanoTime();
        connections.forEach(client -> closeIfOverdue(client, nowNanos));
        lastCheckNanos = nowNanos;
    }

    private void closeIfOverdue(ClientConnection client, long nowNanos) {
        ClientExchange latest = client.latestRequest();
        if (latest != null) {
            latest.rejectIfMemoryIsMissing();
        }
        if (isOverdue(client, nowNanos)) {
            client.recheckOnReactor();
        } else if (listenerState.state() == ListenerState.State.STANDBY
                && client.isDueForStandbyClose()) {
            client.closeGracefully();
        }
    }

    /** Whether a connection has exceeded a limit of {@link ClientTimeouts}. */
    boolean isOverdue(ClientConnection client, long nowNanos) {
        return ClientTimeouts.isOverdue(client, nowNanos, lastCheckNanos);
    }

    /** Closes idle connections for a graceful shutdown; the others close after their response. */
    public void closeIdleClients() {
        connections.forEach(ClientConnections::closeIfIdle);
    }

    private static void closeIfIdle(ClientConnection client) {
        if (client.isClosable()) {
            client.closeGracefully();
        }
    }

    /**
     * Closes all connections after their pending responses, even if they became idle only just now:
     * a request that arrives during the close is not processed.
     */
    public void closeAllGracefully() {
        connections.forEach(ClientConnection::closeGracefully);
    }

    /** Closes the connections without an open request. */
    void releaseIdle() {
        connections.forEach(ClientConnection::releaseIfIdle);
    }
}

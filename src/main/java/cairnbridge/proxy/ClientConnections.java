package cairnbridge.proxy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexer;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexerFactory;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/**
 * The open connections of clients: closes those that are overdue, and idle ones if descriptors run
 * short. Any thread may call the methods that close connections or count them; the others are
 * called on the reactor's thread.
 */
public final class ClientConnections {
    private static final String SCHEME = "http";

    private final DescriptorBudget budget;
    private final RequestHandlerFactory handlerFactory;
    private final BudgetListener budgetListener;
    private final ListenerState listenerState;
    private final Set<ClientConnection> connections = ConcurrentHashMap.newKeySet();

    /** Sessions that wait for their client to close, the longest first. Reactor's thread only. */
    private final Deque<LingeringSession> lingeringSessions = new ArrayDeque<>();

    private volatile long lastCheckNanos = System.nanoTime();

    /**
     * No connections yet.
     *
     * @param handlerFactory creates the handler of each request
     * @param budgetListener told if an idle connection to a server is to make way
     */
    ClientConnections(
            DescriptorBudget budget,
            RequestHandlerFactory handlerFactory,
            BudgetListener budgetListener,
            ListenerState listenerState) {
        this.budget = budget;
        this.handlerFactory = handlerFactory;
        this.budgetListener = budgetListener;
        this.listenerState = listenerState;
    }

    /** Creates the handler of an accepted connection's events. */
    IOEventHandler createHandler(ProtocolIOSession session) {
        RequestHandlers requestHandlers = new RequestHandlers(session, handlerFactory);
        ServerHttp1StreamDuplexerFactory factory =
                new ServerHttp1StreamDuplexerFactory(
                        HttpSettings.RESPONSE_PROCESSOR,
                        requestHandlers,
                        HttpSettings.CONFIG,
                        null,
                        null,
                        () ->
                                new RequestHeadParser(
                                        HttpSettings.CONFIG, requestHandlers::checkPipelined),
                        null,
                        null,
                        null);
        LingeringSession client = new LingeringSession(session, this::trackLingering);
        ServerHttp1StreamDuplexer duplexer = factory.create(SCHEME, client);
        return new ClientConnection(client, duplexer, requestHandlers, this);
    }

    /** The connections that are open, or accepted and not yet admitted. */
    public int count() {
        return connections.size() + budget.pendingAccepted();
    }

    /** Counts a connection that the reactor has just seen; {@link #enforceBudget} follows. */
    void add(ClientConnection client) {
        budget.opened();
        connections.add(client);
    }

    /** Forgets a connection that is closed. */
    void remove(ClientConnection client, LingeringSession session) {
        lingeringSessions.remove(session);
        if (connections.remove(client)) {
            int openDescriptors = budget.closed();
            listenerState.crowded = openDescriptors >= budget.crowdedLimit();
            if (client.isRejected()) {
                budget.removePendingAccepted();
            }
        }
    }

    /**
     * Admits a connection that has just been counted, or rejects it. Guards against running out of
     * descriptors; the dearest step comes last.
     */
    void enforceBudget(ClientConnection latest) {
        int openDescriptors = budget.openDescriptors();
        listenerState.crowded = openDescriptors >= budget.crowdedLimit();
        if (openDescriptors >= budget.fullLimit()) {
            makeRoom();
        }
        if (budget.isExhausted() || connections.size() > budget.maxClients()) {
            // Its descriptor is in use until the reactor's turn ends: it stays counted as pending.
            latest.reject();
        } else {
            // Last: guards against a shutdown that sees no client in between.
            budget.removePendingAccepted();
        }
    }

    private void makeRoom() {
        if (lingeringSessions.isEmpty()) {
            closeIdleClient();
            budgetListener.descriptorBudgetExceeded();
        } else {
            // Each leaves this queue as it is disconnected.
            lingeringSessions.forEach(LingeringSession::release);
        }
    }

    /** Closes the connection that has been idle longest, if there is one. */
    private void closeIdleClient() {
        ClientConnection oldest = null;
        for (ClientConnection client : connections) {
            if (client.isClosable()
                    && (oldest == null || client.idleSinceMillis() < oldest.idleSinceMillis())) {
                oldest = client;
            }
        }
        if (oldest != null) {
            oldest.closeGracefully();
        }
    }

    /** Guards against descriptors spent on clients that have their answer and do not close. */
    private void trackLingering(LingeringSession session) {
        lingeringSessions.add(session);
        if (lingeringSessions.size() > budget.maxLingering()) {
            lingeringSessions.remove().release();
        }
    }

    /** Closes what is overdue, and idle connections in standby; to be called often. */
    public void closeOverdue() {
        long nowNanos = System.nanoTime();
        connections.forEach(client -> closeIfOverdue(client, nowNanos));
        lastCheckNanos = nowNanos;
    }

    private void closeIfOverdue(ClientConnection client, long nowNanos) {
        if (isOverdue(client, nowNanos)) {
            client.recheckOnReactor();
        } else if (listenerState.state() == ListenerState.State.STANDBY
                && client.isDueForStandbyClose()) {
            client.closeGracefully();
        }
    }

    /** Whether a connection is to be closed, as {@link ClientTimeouts} has it. */
    boolean isOverdue(ClientConnection client, long nowNanos) {
        return ClientTimeouts.isOverdue(client, nowNanos, lastCheckNanos);
    }

    /** Closes idle connections for a planned shutdown; the others close after their answer. */
    public void closeIdleClients() {
        connections.forEach(ClientConnections::closeIfIdle);
    }

    private static void closeIfIdle(ClientConnection client) {
        if (client.isClosable()) {
            client.closeGracefully();
        }
    }

    /**
     * Closes all connections after their answers, however short a while they have been idle: what
     * crosses the close is not read as a request.
     */
    public void closeAllGracefully() {
        connections.forEach(ClientConnection::closeGracefully);
    }

    /** Closes the connections that only wait for their client to close. */
    void releaseLingering() {
        connections.forEach(ClientConnection::releaseLingering);
    }
}

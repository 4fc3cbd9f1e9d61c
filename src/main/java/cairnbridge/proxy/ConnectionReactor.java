package cairnbridge.proxy;

import cairnbridge.admin.AdminServer;
import cairnbridge.config.ProxyConfig;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexer;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexerFactory;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexer;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexerFactory;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.HandlerFactory;
import org.apache.hc.core5.http.nio.command.ShutdownCommand;
import org.apache.hc.core5.http.protocol.DefaultHttpProcessor;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.ResponseConnControl;
import org.apache.hc.core5.http.protocol.ResponseContent;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.DefaultConnectingIOReactor;
import org.apache.hc.core5.reactor.Handover;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOReactorShutdownException;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/** The one reactor, its connections both ways, and the budget of sockets that they share. */
final class ConnectionReactor {
    private static final Logger LOG = Logger.getLogger(ConnectionReactor.class.getName());

    /** Descriptors that the process needs for itself: files, selectors, listener, watch. */
    private static final int PROCESS_DESCRIPTORS = 24;

    /**
     * Parts of what is left: from the first on clients' connections end with their answer, from the
     * second on none is opened to a node and idle ones go, from the third on new clients are not
     * served. The first guards against idle connections that keep others out, as clients get a
     * third of all for their requests.
     */
    private static final double CROWDED_SHARE = 0.35;

    private static final double FULL_SHARE = 0.75;
    private static final double EXHAUSTED_SHARE = 1;

    /**
     * Of the same: what clients never get, so that a dial to a node finds a descriptor whatever
     * they do.
     */
    private static final double UPSTREAM_RESERVED_SHARE = 0.125;

    /** Of the same: what connections may hold that only wait for their client's end. */
    private static final double LINGERING_SHARE = 0.0625;

    private static final int MAX_PENDING_ACCEPTED = 8;
    private static final int MAX_EXTRA_READS = 15;

    /** A connection this long without a byte has no request on its way, as far as can be known. */
    private static final long QUIET_MILLIS = 150;

    private static final long FRESH_MILLIS = 1000;

    /**
     * To read one request but for a long body, or for the first to come; and for the next to come.
     */
    private static final long REQUEST_READ_MILLIS = 2200;

    private static final long KEEP_ALIVE_MILLIS = 5000;

    /**
     * For a client to end its side once ours has ended; what it may send until then, or amid its
     * answer.
     */
    private static final long LINGER_MILLIS = 2000;

    private static final long MAX_DISCARDED_BYTES = 1 << 20;

    private static final int BUFFER_BYTES = 4096;

    /** Of a head, in bytes and in fields: more is no request and no answer of this protocol. */
    private static final int MAX_HEAD_LINE_BYTES = 4096;

    private static final int MAX_HEADERS = 40;

    private static final long SELECT_INTERVAL_MILLIS = 20;

    private final Http1Config httpConfig =
            Http1Config.custom()
                    .setBufferSize(BUFFER_BYTES)
                    .setChunkSizeHint(BUFFER_BYTES)
                    .setMaxLineLength(MAX_HEAD_LINE_BYTES)
                    .setMaxHeaderCount(MAX_HEADERS)
                    .build();
    private final HttpProcessor responseProcessor =
            new DefaultHttpProcessor(ResponseContent.INSTANCE, ResponseConnControl.INSTANCE);
    private final HttpProcessor requestProcessor =
            new DefaultHttpProcessor(RequestContent.INSTANCE);
    private final DefaultConnectingIOReactor reactor;
    private final ThreadFactory threadFactory;
    private final int backlog;
    private final AtomicInteger openDescriptors = new AtomicInteger();

    /** Connections of clients that have been accepted and not yet been seen by the reactor. */
    private final AtomicInteger pendingAccepted = new AtomicInteger();

    private final Set<ClientConnection> clientConnections = ConcurrentHashMap.newKeySet();
    private final EventQueue eventQueue;

    /** Reactor only, the longest first. */
    private final ArrayDeque<LingeringSession> lingeringSessions = new ArrayDeque<>();

    private final int crowdedLimit;
    private final int fullLimit;
    private final int exhaustedLimit;
    private final ListenerState listenerState;
    private Acceptor acceptor;
    private volatile boolean stopping;
    private volatile int siblingDescriptors;
    private volatile long lastCheckNanos = System.nanoTime();

    ConnectionReactor(
            ProxyConfig config, EventQueue inbox, ListenerState listen, ThreadFactory threads) {
        this.eventQueue = inbox;
        this.listenerState = listen;
        this.threadFactory = threads;
        backlog = config.network().maxSockets();
        int left =
                config.network().maxSockets()
                        - PROCESS_DESCRIPTORS
                        - (config.network().admin().isPresent() ? AdminServer.MAX_SOCKETS : 0);
        crowdedLimit = (int) (CROWDED_SHARE * left);
        fullLimit = (int) (FULL_SHARE * left);
        exhaustedLimit = (int) (EXHAUSTED_SHARE * left);
        IOReactorConfig io =
                IOReactorConfig.custom()
                        .setIoThreadCount(1)
                        .setTcpNoDelay(true)
                        .setSoTimeout(Timeout.DISABLED)
                        .setSelectInterval(TimeValue.ofMilliseconds(SELECT_INTERVAL_MILLIS))
                        .build();
        reactor =
                new DefaultConnectingIOReactor(
                        this::createHandler,
                        io,
                        threads,
                        null,
                        this::handleReactorError,
                        null,
                        null);
    }

    /**
     * Guards against a crowd at a busy reactor: what is accepted and not yet counted holds
     * descriptors. Who waits in the system's queue meanwhile holds none.
     */
    private boolean canAccept() {
        return stopping || pendingAccepted.get() < MAX_PENDING_ACCEPTED;
    }

    private void handleAccepted(SocketChannel channel) {
        pendingAccepted.incrementAndGet();
        try {
            Handover.give(reactor, channel);
        } catch (IOReactorShutdownException e) {
            LOG.log(
                    Level.FINE,
                    "reactor: {0}",
                    e.toString()); // It closes what it was given itself.
        }
    }

    private void handleReactorError(Exception cause) {
        // A stop from outside breaks into the reactor's loop, which then complains of what it was
        // asked for.
        if (!stopping) {
            LOG.log(Level.WARNING, "reactor: {0}", cause.toString());
        }
    }

    void start() {
        reactor.start();
    }

    /** Takes clients from now on. */
    void listen(InetSocketAddress address) throws IOException {
        acceptor = createAcceptor(address);
        threadFactory.newThread(acceptor).start();
    }

    /**
     * A place to listen at; what is accepted there is served like any other. Its thread is the
     * caller's.
     */
    Acceptor createAcceptor(InetSocketAddress address) throws IOException {
        return new Acceptor(address, backlog, this::canAccept, this::handleAccepted);
    }

    InetSocketAddress address() throws IOException {
        return acceptor.address();
    }

    /**
     * Opens a connection for an exchange, whatever the budget: who can do without asks isFull
     * first.
     */
    UpstreamConnection connect(InetSocketAddress address, long timeOut, UpstreamExchange first) {
        return connect(address, timeOut, 0, first);
    }

    /** The same for a connection that fails after some time of silence; 0 is for ever. */
    UpstreamConnection connect(
            InetSocketAddress address, long timeOut, long silence, UpstreamExchange first) {
        openDescriptors.incrementAndGet();
        UpstreamConnection connection =
                new UpstreamConnection(address, this, toTimeout(silence), first);
        // By its digits: the library would else look up the address's name, and there is no DNS to
        // ask.
        HttpHost host = new HttpHost(address.getHostString(), address.getPort());
        connection.setPendingConnect(
                reactor.connect(host, address, null, toTimeout(timeOut), connection, connection));
        return connection;
    }

    private static Timeout toTimeout(long tenths) {
        return tenths == 0
                ? Timeout.DISABLED
                : Timeout.ofMilliseconds(Math.max(1, tenths / TickClock.TICKS_PER_MILLI));
    }

    /** Connections of clients that are open, or accepted and not yet seen. */
    int clientConnectionCount() {
        return clientConnections.size() + pendingAccepted.get();
    }

    /** What this process holds of the budget. */
    int openDescriptors() {
        return openDescriptors.get();
    }

    /** What other processes hold of it, as they told last. */
    void setSiblingDescriptors(int others) {
        siblingDescriptors = others;
    }

    /** Two processes share one budget; while both fit into it each keeps to its own steps. */
    boolean isExhausted() {
        return openDescriptors() + siblingDescriptors >= exhaustedLimit;
    }

    boolean isUpstreamFull() {
        return openDescriptors() >= fullLimit || isExhausted();
    }

    /** One that never came up is in nobody's pool: there is nothing to tell. */
    void connectionClosed(UpstreamConnection connection, boolean wasUp) {
        openDescriptors.decrementAndGet();
        if (wasUp) {
            eventQueue.post(new ProxyEvent.UpstreamConnectionClosed(connection));
        }
    }

    /** The client's connection that has stood idle longest makes room for another. */
    private void closeIdleClient() {
        ClientConnection oldest = null;
        for (ClientConnection client : clientConnections) {
            if (client.isClosable()
                    && (oldest == null || client.idleSinceMillis() < oldest.idleSinceMillis())) {
                oldest = client;
            }
        }
        if (oldest != null) {
            oldest.closeGracefully();
        }
    }

    /** Guards against running out of descriptors, the dearest step last. */
    private void enforceBudget(ClientConnection client) {
        int held = openDescriptors();
        listenerState.crowded = held >= crowdedLimit;
        if (held >= fullLimit && lingeringSessions.isEmpty()) {
            closeIdleClient();
            eventQueue.post(new ProxyEvent.DescriptorBudgetExceeded());
        } else if (held >= fullLimit) {
            lingeringSessions.forEach(
                    LingeringSession::release); // Each leaves this list as it is disconnected.
        }
        if (isExhausted()
                || clientConnections.size()
                        > (EXHAUSTED_SHARE - UPSTREAM_RESERVED_SHARE)
                                / EXHAUSTED_SHARE
                                * exhaustedLimit) {
            client.closeNow();
        }
    }

    /** Looks at every client's connection; to be called a few times a second. */
    void closeOverdue() {
        long now = System.nanoTime();
        clientConnections.forEach(
                client -> {
                    if (client.isOverdue(now)) {
                        client.recheckOnReactor();
                    } else if (listenerState.state() == ListenerState.State.STANDBY
                            && client.isDueForStandbyClose()) {
                        client.closeGracefully();
                    }
                });
        lastCheckNanos = now;
    }

    /** No new connections from now on. */
    void stopListening() throws InterruptedException {
        stopping = true;
        if (acceptor != null) { // Guards against an end that comes before the beginning is over.
            acceptor.stop();
        }
    }

    /** For the planned end: those that stand idle go, the others after their answer. */
    void closeIdleClients() {
        clientConnections.forEach(
                client -> {
                    if (client.isClosable()) {
                        client.closeGracefully();
                    }
                });
    }

    /**
     * However short a while they have been idle: what crosses the close is not read as a request.
     */
    void finishClients() {
        clientConnections.forEach(ClientConnection::closeGracefully);
    }

    void stop() throws InterruptedException {
        stopping = true;
        if (acceptor != null) {
            acceptor.stop();
        }
        // Guards against a reset that takes along what a client has not yet read, where nothing is
        // owed.
        clientConnections.forEach(ClientConnection::releaseLingering);
        reactor.close(CloseMode.IMMEDIATE);
    }

    private IOEventHandler createHandler(ProtocolIOSession session, Object attachment) {
        if (attachment instanceof UpstreamConnection connection) {
            return new UpstreamIoHandler(
                    new ClientHttp1StreamDuplexerFactory(
                                    requestProcessor,
                                    httpConfig,
                                    null,
                                    null,
                                    () ->
                                            new ResponseHeadParser(
                                                    httpConfig, connection::isAwaitingResponse),
                                    null,
                                    null)
                            .create(session),
                    connection);
        }
        RequestHandlers exchanges = new RequestHandlers(session);
        ServerHttp1StreamDuplexerFactory incoming =
                new ServerHttp1StreamDuplexerFactory(
                        responseProcessor,
                        exchanges,
                        httpConfig,
                        null,
                        null,
                        () -> new RequestHeadParser(httpConfig, exchanges::isPipelined),
                        null,
                        null,
                        null);
        LingeringSession client = new LingeringSession(session, this::trackLingering);
        return new ClientConnection(client, incoming.create("http", client), exchanges);
    }

    /** Guards against descriptors spent on clients that have their answer and do not close. */
    private void trackLingering(LingeringSession client) {
        lingeringSessions.add(client);
        if (lingeringSessions.size() > LINGERING_SHARE / EXHAUSTED_SHARE * exhaustedLimit) {
            lingeringSessions.remove().release();
        }
    }

    private interface BufferReader {
        void readMore() throws IOException;
    }

    /** Guards against a turn of the reactor for every buffer of what passes through. */
    private static void readWhileProgressing(BufferReader reading, LongSupplier hungry)
            throws IOException {
        long came = hungry.getAsLong();
        for (int i = 0; i < MAX_EXTRA_READS && came >= 0; i++) {
            reading.readMore();
            long now = hungry.getAsLong();
            came = now > came ? now : -1;
        }
    }

    private static final class UpstreamIoHandler extends ClientHttp1IOEventHandler {
        private final UpstreamConnection connection;

        UpstreamIoHandler(ClientHttp1StreamDuplexer duplexer, UpstreamConnection connection) {
            super(duplexer);
            this.connection = connection;
        }

        @Override
        public void inputReady(IOSession session, ByteBuffer src) throws IOException {
            if (connection.isAwaitingResponse()) {
                super.inputReady(session, src);
                readWhileProgressing(
                        () -> super.inputReady(session, null),
                        () ->
                                connection.isAwaitingResponse()
                                        ? connection.latestExchange().streamedBytesIfReadable()
                                        : -1);
            } else {
                // Guards against bytes on an idle connection; its end comes this way, too.
                session.close(CloseMode.IMMEDIATE);
            }
        }

        @Override
        public void disconnected(IOSession session) {
            super.disconnected(session);
            connection.handleClosed();
        }
    }

    /** Makes a connection's exchanges and knows the latest. */
    private final class RequestHandlers implements HandlerFactory<AsyncServerExchangeHandler> {
        private final IOSession session;
        private volatile ClientExchange latestExchange;
        private volatile int createdCount;

        /** Reactor only: nothing more is read as a request. */
        private boolean pipelined;

        RequestHandlers(IOSession session) {
            this.session = session;
        }

        /** Guards against bodies kept for as long as a connection stands idle. */
        private void handleReleased(ClientExchange done) {
            if (latestExchange == done && !done.isLastOnConnection()) {
                latestExchange = null;
            }
        }

        /**
         * A request has begun and its last byte has not come; before: how many had been made till
         * then.
         */
        boolean isReading(int before) {
            ClientExchange last = latestExchange;
            return last == null || last.isFinished()
                    ? createdCount == before
                    : !last.isRequestComplete();
        }

        /**
         * Asked about bytes that have come: they come before the answer to what came before them.
         */
        boolean isPipelined() {
            ClientExchange last = latestExchange;
            boolean busy = last != null && (!last.isAnswered() || last.isLastOnConnection());
            pipelined |= busy;
            return busy;
        }

        @Override
        public AsyncServerExchangeHandler create(HttpRequest request, HttpContext context) {
            createdCount++;
            latestExchange =
                    new ClientExchange(
                            listenerState,
                            eventQueue,
                            this::handleReleased,
                            () -> session.close(CloseMode.IMMEDIATE));
            return latestExchange;
        }
    }

    /**
     * A client's connection. The library goes on after a client's close; this ends the exchange
     * instead.
     */
    private final class ClientConnection extends ServerHttp1IOEventHandler {
        private final LingeringSession session;
        private final RequestHandlers requestHandlers;
        private volatile long readingSinceNanos;

        /** How many requests had begun when it was found overdue; under 0 where it was not. */
        private volatile int createdCountAtCheck = -1;

        ClientConnection(
                LingeringSession session,
                ServerHttp1StreamDuplexer duplexer,
                RequestHandlers exchanges) {
            super(duplexer);
            this.session = session;
            this.requestHandlers = exchanges;
        }

        /**
         * Guards against those who connect and say nothing, or never come to the end of what they
         * say.
         */
        boolean isOverdue(long now) {
            if (session.isClosing()) {
                return session.lingeringMillis(now) >= LINGER_MILLIS;
            }
            ClientExchange latest = requestHandlers.latestExchange;
            if (latest != null && latest.isStalled(now)) {
                LOG.info("what passes through stands still: " + latest.traceId + " is cut");
                return true;
            } else if (readingSinceNanos != 0 && latest != null && latest.isBackpressured()) {
                readingSinceNanos +=
                        now - lastCheckNanos; // Its time does not run while the proxy takes
                // nothing.
            } else if (readingSinceNanos != 0) {
                long came = latest == null ? 0 : latest.receivedBytes();
                return now - readingSinceNanos
                        >= (REQUEST_READ_MILLIS + came / ListenerState.MIN_BODY_BYTES_PER_MILLI)
                                * 1_000_000;
            }
            return isIdle()
                    && System.currentTimeMillis() - idleSinceMillis()
                            >= (requestHandlers.createdCount == 0
                                    ? REQUEST_READ_MILLIS
                                    : KEEP_ALIVE_MILLIS);
        }

        boolean isIdle() {
            ClientExchange latest = requestHandlers.latestExchange;
            return latest == null || latest.isFinished();
        }

        /**
         * Guards against closing on a request that has come and is not read, as on a fresh
         * connection.
         */
        boolean isClosable() {
            return isQuiet(QUIET_MILLIS);
        }

        /**
         * Guards against a client sent away with its first request on the way to a connection just
         * made.
         */
        boolean isDueForStandbyClose() {
            return isQuiet(requestHandlers.createdCount == 0 ? FRESH_MILLIS : QUIET_MILLIS);
        }

        private boolean isQuiet(long millis) {
            return isIdle() && System.currentTimeMillis() - idleSinceMillis() >= millis;
        }

        void closeNow() {
            session.close(CloseMode.IMMEDIATE);
        }

        /** Closes what only waits for its client's own end. */
        void releaseLingering() {
            if (session.isClosing()) {
                session.release();
            }
        }

        /**
         * Guards against an end that meets a request which the reactor is just taking: that looks
         * itself.
         */
        void recheckOnReactor() {
            createdCountAtCheck = requestHandlers.createdCount;
            try {
                session.setEvent(SelectionKey.OP_WRITE);
            } catch (CancelledKeyException e) {
                // Guards against an end of all looks, as one connection ends just then.
                createdCountAtCheck = -1;
            }
        }

        long idleSinceMillis() {
            return session.getLastEventTime();
        }

        void closeGracefully() {
            session.enqueue(ShutdownCommand.GRACEFUL, Command.Priority.NORMAL);
        }

        @Override
        public void connected(IOSession up) throws IOException {
            openDescriptors.incrementAndGet();
            clientConnections.add(this);
            pendingAccepted
                    .decrementAndGet(); // Behind it: guards against an end that sees no client in
            // between.
            super.connected(up);
            enforceBudget(this);
        }

        @Override
        public void outputReady(IOSession up) throws IOException {
            int then = createdCountAtCheck;
            createdCountAtCheck = -1;
            if (then >= 0 && isIdle() && readingSinceNanos == 0 && !session.isClosing()) {
                if (then == requestHandlers.createdCount) {
                    closeGracefully(); // The look itself is an event: only what has come since can
                    // speak
                    // against it.
                }
            } else if (then >= 0 && isOverdue(System.nanoTime())) {
                closeNow();
                return;
            }
            if (session.isClosing()) {
                up.setEventMask(SelectionKey.OP_READ);
            } else {
                super.outputReady(up);
            }
        }

        /** Its last request has been read, and the library stops reading while answers are owed. */
        private boolean hasStoppedReading() {
            ClientExchange latest = requestHandlers.latestExchange;
            return requestHandlers.pipelined
                    || latest != null
                            && latest.isRequestComplete()
                            && !latest.isFinished()
                            && !isOpen();
        }

        /** Guards against a client's end that is not seen because bytes lie before it. */
        private void discardInput(IOSession up) throws IOException {
            if (session.discardInput() > MAX_DISCARDED_BYTES || session.hasPeerClosed()) {
                up.close(CloseMode.IMMEDIATE);
            }
        }

        @Override
        public void inputReady(IOSession up, ByteBuffer src) throws IOException {
            if (session.isClosing()) {
                session.linger(MAX_DISCARDED_BYTES);
                return;
            } else if (hasStoppedReading()) {
                discardInput(up);
                return;
            }
            int before = requestHandlers.createdCount;
            super.inputReady(up, src);
            ClientExchange reading = requestHandlers.latestExchange;
            if (reading != null) {
                readWhileProgressing(
                        () -> super.inputReady(up, null), reading::streamedBytesIfReadable);
            }
            readingSinceNanos =
                    !requestHandlers.isReading(before)
                            ? 0
                            : readingSinceNanos == 0 ? System.nanoTime() : readingSinceNanos;
            // Guards against ops worked on for a client that has closed its connection.
            if (session.hasPeerClosed() && !isIdle()) {
                up.close(CloseMode.IMMEDIATE);
            } else if (hasStoppedReading()) {
                up.setEvent(SelectionKey.OP_READ);
            }
        }

        @Override
        public void disconnected(IOSession up) {
            super.disconnected(up);
            lingeringSessions.remove(session);
            if (clientConnections.remove(this)) {
                listenerState.crowded = openDescriptors.decrementAndGet() >= crowdedLimit;
            }
        }
    }
}

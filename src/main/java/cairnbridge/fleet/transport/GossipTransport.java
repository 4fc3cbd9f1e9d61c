package cairnbridge.fleet.transport;

import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.Message;
import cairnbridge.fleet.member.Packet;
import cairnbridge.fleet.membership.MembershipEvent;
import cairnbridge.fleet.membership.MembershipHost;
import cairnbridge.fleet.membership.MembershipView;
import cairnbridge.fleet.membership.SwimProtocol;
import cairnbridge.fleet.membership.SwimSettings;
import cairnbridge.time.Ticks;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Runs a member's {@link SwimProtocol} over UDP and TCP, on one thread with its own selector. While
 * it runs, any thread may read the view, change the metadata and submit tasks.
 */
public final class GossipTransport implements Runnable {
    /** Receives membership events. Called on the transport's thread; must not block. */
    public interface Listener {
        /** See {@link MembershipHost#memberChanged}. */
        void memberChanged(
                MemberState before, MemberState after, MembershipHost.StatusChangeReason reason);

        /**
         * A member has sent an application message.
         *
         * @param answer receives the answer, empty for none; call it on this thread, now or later
         */
        void messageReceived(
                MemberId sender, String topic, byte[] payload, Consumer<byte[]> answer);

        /** A view was published: soon after a change, and periodically without one. */
        void viewPublished(MembershipView view);

        /** Logs a message for operators. */
        void log(String message);
    }

    private static final Logger LOG = Logger.getLogger(GossipTransport.class.getName());

    /** The shortest time between publications of changed views. */
    private static final long MIN_PUBLISH_INTERVAL = Ticks.SECOND / 10;

    /** The time after which an unchanged view is published again. */
    private static final long PUBLISH_INTERVAL = Ticks.SECOND / 4;

    /** Leaving is announced for this many gossip intervals. */
    private static final int LEAVE_INTERVALS = 3;

    /** Ids of application calls start here, to differ from the protocol's own call ids. */
    private static final long FIRST_APPLICATION_CALL = 1L << 61;

    private final TransportSettings settings;
    private final SwimSettings swimSettings;
    private final Listener listener;
    private final PacketFramer framer;
    private final TransportMetrics metrics = new TransportMetrics();
    private final TransportSockets sockets;
    private final SwimProtocol protocol;
    private final Endpoint endpoint;
    private final Queue<MembershipEvent> events = new ConcurrentLinkedQueue<>();
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final DatagramLink datagrams;
    private final StreamCalls calls;

    /** Incoming calls that the protocol has yet to answer, by call id. */
    private final Map<Long, StreamCall> unansweredCalls = new HashMap<>();

    /** The callbacks of outgoing application calls, by call id. */
    private final Map<Long, Consumer<Optional<byte[]>>> applicationCalls = new HashMap<>();

    private final CountDownLatch terminated = new CountDownLatch(1);
    private long lastIncomingCall;
    private long lastApplicationCall = FIRST_APPLICATION_CALL;
    private long publishedAt;
    private long nextPublication;
    private int datagramVersion = FrameAuthenticator.OLDEST_VERSION;
    private boolean viewChanged = true;
    private volatile MembershipView latestView;
    private volatile boolean stopped;

    /**
     * Binds the sockets.
     *
     * @param metadata the metadata that this member announces at first
     * @param seed the seed of the protocol's random choices
     * @throws IOException if the address is not available, which the message names
     */
    public GossipTransport(
            TransportSettings settings,
            SwimSettings swimSettings,
            MemberMetadata metadata,
            long seed,
            Listener listener)
            throws IOException {
        this.settings = settings;
        this.swimSettings = swimSettings;
        this.listener = listener;
        FrameAuthenticator authenticator =
                new FrameAuthenticator(
                        settings.cluster().name(),
                        settings.cluster().secret(),
                        settings.protocolVersion());
        framer =
                new PacketFramer(
                        settings.identity().id(),
                        authenticator,
                        new ReplayWindow(swimSettings.maxMembers()));
        sockets = TransportSockets.bind(settings.address().bind(), StreamCalls.MAX_CALLS);
        datagrams =
                new DatagramLink(
                        settings.address(),
                        sockets,
                        framer,
                        metrics,
                        new ByteRateLimiter(settings.maxBytesPerSecond(), Ticks.now()),
                        swimSettings.maxDatagramBytes());
        calls =
                new StreamCalls(
                        settings.address(),
                        sockets,
                        framer,
                        metrics,
                        new CallHandler(),
                        this::callFailed);
        endpoint = settings.address().advertised().orElse(boundEndpoint());
        MemberState self =
                MemberState.initial(
                        settings.identity().id(),
                        endpoint,
                        Math.max(1, settings.identity().generation()),
                        metadata);
        protocol =
                new SwimProtocol(
                        swimSettings,
                        self,
                        settings.contacts(),
                        seed,
                        Ticks.now(),
                        new ProtocolHost());
        latestView = protocol.view();
    }

    private Endpoint boundEndpoint() throws IOException {
        String host = settings.address().bind().getAddress().getHostAddress();
        return new Endpoint(host, sockets.port());
    }

    // Methods for any thread.

    /** The endpoint at which other members reach this one. */
    public Endpoint endpoint() {
        return endpoint;
    }

    /** The counters of traffic, failures and rejected frames. */
    public TransportMetrics metrics() {
        return metrics;
    }

    /** The view that was published last. */
    public MembershipView view() {
        return latestView;
    }

    /** Replaces the metadata that this member announces. */
    public void updateMetadata(MemberMetadata metadata) {
        events.add(new MembershipEvent.MetadataChanged(metadata));
        sockets.selector.wakeup();
    }

    /** Runs a task on the transport's thread. */
    public void execute(Runnable task) {
        tasks.add(task);
        sockets.selector.wakeup();
    }

    /** Announces for some tenths of a second that this member leaves, and stops. */
    public void leave() throws InterruptedException {
        events.add(new MembershipEvent.LeaveRequested());
        sockets.selector.wakeup();
        long announcing = LEAVE_INTERVALS * swimSettings.gossipInterval();
        terminated.await(Ticks.toMillis(announcing), TimeUnit.MILLISECONDS);
        stop();
    }

    /** Stops without an announcement; other members then detect a failure. */
    public void stop() {
        stopped = true;
        sockets.selector.wakeup();
    }

    // Methods for the transport's thread.

    /** Sends an application message; the callback receives the answer, empty if none arrives. */
    public void call(
            Endpoint to, String topic, byte[] payload, Consumer<Optional<byte[]>> callback) {
        lastApplicationCall++;
        long callId = lastApplicationCall;
        applicationCalls.put(callId, callback);
        Message message = new Message.ApplicationMessage(topic, payload);
        calls.begin(callId, to, protocol.packet(message));
    }

    @Override
    public void run() {
        try (sockets) {
            protocol.start(Ticks.now());
            while (!stopped) {
                runOnce();
            }
        } catch (IOException e) {
            LOG.log(Level.SEVERE, "fleet: the gossip transport has failed", e);
        } finally {
            calls.closeAll();
            terminated.countDown();
        }
    }

    private void runOnce() throws IOException {
        select();
        for (SelectionKey key : sockets.selector.selectedKeys()) {
            handle(key);
        }
        sockets.selector.selectedKeys().clear();
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
        for (MembershipEvent event = events.poll(); event != null; event = events.poll()) {
            handle(event);
        }
        long now = Ticks.now();
        protocol.fireTimers(now);
        calls.failOverdue(now);
        publishIfDue(now);
    }

    private void select() throws IOException {
        long next = Math.min(protocol.nextTimer(), nextPublication);
        long millis = Ticks.toMillis(next - Ticks.now()) + 1;
        sockets.selector.select(Math.max(1, Math.min(millis, Ticks.toMillis(PUBLISH_INTERVAL))));
    }

    private void handle(SelectionKey key) throws IOException {
        if (key.attachment() instanceof StreamCall call) {
            call.onReady();
        } else if (key.isValid() && key.isAcceptable()) {
            calls.accept();
        } else if (key.isValid() && key.isReadable()) {
            datagrams.receive(this::packetReceived);
        }
    }

    private void packetReceived(Packet packet) {
        protocol.handle(Ticks.now(), new MembershipEvent.PacketReceived(packet));
    }

    private void handle(MembershipEvent event) {
        if (event instanceof MembershipEvent.CallCompleted completed) {
            Consumer<Optional<byte[]>> callback = applicationCalls.remove(completed.callId());
            if (callback != null) {
                callback.accept(Optional.empty());
                return;
            }
        }
        protocol.handle(Ticks.now(), event);
    }

    private void publishIfDue(long now) {
        boolean changeDue = viewChanged && now - publishedAt >= MIN_PUBLISH_INTERVAL;
        if (changeDue || now >= nextPublication) {
            nextPublication = now + PUBLISH_INTERVAL;
            publishedAt = now;
            viewChanged = false;
            latestView = protocol.view();
            datagramVersion =
                    ProtocolVersions.newestCommon(
                            latestView.liveMembers(), settings.protocolVersion());
            listener.viewPublished(latestView);
        }
    }

    private void callFailed(long callId) {
        metrics.countFailure();
        events.add(new MembershipEvent.CallCompleted(callId, null));
    }

    /** Passes packets that arrive on calls to the protocol and to the listener. */
    private final class CallHandler implements StreamCall.Handler {
        @Override
        public void frameReceived(StreamCall call, FrameAuthenticator.AuthenticatedFrame frame)
                throws RejectedFrameException {
            Packet packet = framer.decode(frame);
            metrics.countReceived(call.receivedBytes());
            if (call.isIncoming()) {
                requestReceived(call, packet);
            } else {
                answerReceived(call, packet);
            }
        }

        private void requestReceived(StreamCall call, Packet packet) {
            if (packet.message() instanceof Message.ApplicationMessage message) {
                listener.messageReceived(
                        packet.sender(),
                        message.topic(),
                        message.payload(),
                        answer -> {
                            Message reply = new Message.ApplicationMessage(message.topic(), answer);
                            calls.answer(call, protocol.packet(reply));
                        });
                return;
            }
            lastIncomingCall++;
            long callId = lastIncomingCall;
            unansweredCalls.put(callId, call);
            protocol.handle(Ticks.now(), new MembershipEvent.CallReceived(callId, packet));
        }

        private void answerReceived(StreamCall call, Packet packet) {
            call.close();
            Consumer<Optional<byte[]>> callback = applicationCalls.remove(call.id());
            if (callback == null) {
                protocol.handle(Ticks.now(), new MembershipEvent.CallCompleted(call.id(), packet));
            } else if (packet.message() instanceof Message.ApplicationMessage answer) {
                callback.accept(Optional.of(answer.payload()));
            } else {
                callback.accept(Optional.empty());
            }
        }

        @Override
        public void frameRejected(RejectionReason reason) {
            metrics.countRejection(reason);
        }

        @Override
        public void failed(StreamCall call) {
            if (!call.isIncoming()) {
                callFailed(call.id());
            }
        }

        @Override
        public void closed(StreamCall call) {
            calls.remove(call);
            unansweredCalls.values().remove(call);
        }
    }

    /** Performs the protocol's actions on the sockets and passes its events to the listener. */
    private final class ProtocolHost implements MembershipHost {
        @Override
        public void send(Endpoint to, Packet packet) {
            datagrams.send(to, packet, datagramVersion);
        }

        @Override
        public void call(long callId, Endpoint to, Packet packet) {
            calls.begin(callId, to, packet);
        }

        @Override
        public void answer(long callId, Packet packet) {
            StreamCall call = unansweredCalls.remove(callId);
            if (call != null) {
                calls.answer(call, packet);
            }
        }

        @Override
        public void memberChanged(
                MemberState before, MemberState after, StatusChangeReason reason) {
            viewChanged = true;
            listener.memberChanged(before, after, reason);
        }

        @Override
        public void log(String message) {
            listener.log(message);
        }
    }
}

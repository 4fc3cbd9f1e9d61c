package cairnbridge.fleet.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import cairnbridge.fleet.membership.MembershipHost.StatusChangeReason;
import cairnbridge.fleet.membership.MembershipView;
import cairnbridge.fleet.membership.SwimProtocol;
import cairnbridge.fleet.membership.SwimSettings;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Runs two or three transports on loopback sockets, and senders from outside the cluster. */
@Timeout(30)
class GossipTransportTest implements GossipTransport.Listener {
    private static final byte[] SECRET = "sixteen bytes or more".getBytes(StandardCharsets.UTF_8);
    private final List<GossipTransport> transports = new ArrayList<>();

    private GossipTransport startTransport(
            String name, String cluster, int protocol, Endpoint... seeds) throws IOException {
        TransportSettings settings =
                new TransportSettings(
                        new TransportSettings.Identity(
                                new MemberId(name), System.currentTimeMillis()),
                        new TransportSettings.Cluster(cluster, SECRET),
                        new TransportSettings.Address(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                Optional.empty(),
                                Map.of()),
                        SwimProtocol.Contacts.seeds(List.of(seeds)),
                        protocol,
                        100_000);
        MemberMetadata metadata =
                MemberMetadata.builder().location("a", "r").protocolVersion(protocol).build();
        GossipTransport transport =
                new GossipTransport(
                        settings, SwimSettings.DEFAULT, metadata, name.hashCode(), this);
        transports.add(transport);
        Thread thread = new Thread(transport, name);
        thread.setDaemon(true);
        thread.start();
        return transport;
    }

    @AfterEach
    void stop() {
        transports.forEach(GossipTransport::stop);
    }

    @Override
    public void memberChanged(MemberState before, MemberState after, StatusChangeReason reason) {
        // The tests check the view instead.
    }

    @Override
    public void messageReceived(
            MemberId sender, String topic, byte[] payload, Consumer<byte[]> answer) {
        answer.accept(
                (topic + " of " + sender + " in " + payload.length)
                        .getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void viewPublished(MembershipView view) {
        // The tests poll the view instead.
    }

    @Override
    public void log(String message) {
        // The tests do not check log messages.
    }

    private static void waitUntil(java.util.function.BooleanSupplier condition)
            throws InterruptedException {
        while (!condition.getAsBoolean()) {
            Thread.sleep(5);
        }
    }

    @Test
    void membersOfDifferentVersionsJoinExchangeMetadataAndLeave() throws Exception {
        GossipTransport first = startTransport("a", "c", 1);
        GossipTransport second = startTransport("b", "c", 2, first.endpoint());
        waitUntil(
                () ->
                        first.view().statistics().members().alive() == 2
                                && second.view().statistics().members().alive() == 2);
        second.updateMetadata(
                MemberMetadata.builder()
                        .location("z", "r")
                        .protocolVersion(2)
                        .lifecycle(MemberMetadata.Lifecycle.DRAINING)
                        .build());
        waitUntil(
                () ->
                        first.view()
                                .stateOf(new MemberId("b"))
                                .map(MemberState::metadata)
                                .filter(
                                        metadata ->
                                                metadata.lifecycle()
                                                        == MemberMetadata.Lifecycle.DRAINING)
                                .isPresent());
        assertEquals(
                0,
                first.metrics().rejections(RejectionReason.UNKNOWN_VERSION),
                "the second member sends the version that the first supports");
        second.leave();
        waitUntil(() -> first.view().count(MemberStatus.LEFT) == 1);
        assertEquals(0, first.view().statistics().counters().deaths());
    }

    /**
     * Guards against senders from outside the cluster: frames they send must not add a member or
     * declare one dead.
     */
    @Test
    void foreignFramesAreCountedAndChangeNoView() throws Exception {
        GossipTransport first = startTransport("a", "c", 2);
        GossipTransport second = startTransport("b", "c", 2, first.endpoint());
        waitUntil(
                () ->
                        first.view().statistics().members().alive() == 2
                                && second.view().statistics().members().alive() == 2);
        GossipTransport foreign = startTransport("x", "another", 2, first.endpoint());
        try (DatagramSocket socket = new DatagramSocket();
                Socket stream = new Socket()) {
            InetSocketAddress address = first.endpoint().toSocketAddress();
            for (int i = 0; i < 50; i++) {
                byte[] bytes =
                        "hello hello hello hello hello hello hello hello"
                                .getBytes(StandardCharsets.UTF_8);
                socket.send(new DatagramPacket(bytes, bytes.length, address));
                byte[] header = {(byte) 0xCB, 0x1D, 2, 0};
                socket.send(new DatagramPacket(header, header.length, address));
            }
            stream.connect(address);
            stream.getOutputStream().write(new byte[100]);
            waitUntil(
                    () ->
                            first.metrics().rejections(RejectionReason.FOREIGN) >= 50
                                    && first.metrics().rejections(RejectionReason.CUT_SHORT) >= 50
                                    && first.metrics().rejections(RejectionReason.OTHER_CLUSTER)
                                            >= 1);
        }
        assertEquals(2, first.view().members().size());
        assertEquals(1, foreign.view().members().size());
        assertEquals(MemberStatus.ALIVE, second.view().stateOf(new MemberId("a")).get().status());
    }

    /**
     * Application messages use the same streams as the protocol. Guards against a caller that is
     * never notified when the called member has stopped: its callback receives an empty answer.
     */
    @Test
    void applicationCallGetsAnAnswerOrNoneFromAStoppedMember() throws Exception {
        GossipTransport first = startTransport("a", "c", 2);
        GossipTransport second = startTransport("b", "c", 2, first.endpoint());
        waitUntil(() -> second.view().statistics().members().alive() == 2);
        CompletableFuture<String> answer = new CompletableFuture<>();
        CompletableFuture<Boolean> noAnswer = new CompletableFuture<>();
        second.execute(
                () ->
                        second.call(
                                first.endpoint(),
                                "plans",
                                new byte[40_000],
                                bytes ->
                                        answer.complete(
                                                new String(
                                                        bytes.orElseThrow(),
                                                        StandardCharsets.UTF_8))));
        assertEquals("plans of b in 40000", answer.get());
        first.stop();
        waitUntil(
                () -> {
                    second.execute(
                            () ->
                                    second.call(
                                            first.endpoint(),
                                            "plans",
                                            new byte[1],
                                            bytes -> noAnswer.complete(bytes.isEmpty())));
                    return noAnswer.isDone();
                });
        assertTrue(noAnswer.get());
    }

    @Test
    void addressInUseIsReportedInOneLine() throws Exception {
        GossipTransport first = startTransport("a", "c", 2);
        TransportSettings sameAddress =
                new TransportSettings(
                        new TransportSettings.Identity(new MemberId("b"), 1),
                        new TransportSettings.Cluster("c", SECRET),
                        new TransportSettings.Address(
                                first.endpoint().toSocketAddress(), Optional.empty(), Map.of()),
                        SwimProtocol.Contacts.seeds(List.of()),
                        2,
                        100_000);
        MemberMetadata metadata =
                MemberMetadata.builder().location("a", "r").protocolVersion(2).build();
        IOException failure =
                assertThrows(
                        IOException.class,
                        () ->
                                new GossipTransport(
                                        sameAddress, SwimSettings.DEFAULT, metadata, 1, this));
        assertTrue(
                failure.getMessage().startsWith("cannot listen on ")
                        && !failure.getMessage().contains("\n"));
    }
}

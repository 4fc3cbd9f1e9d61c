package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cairnbridge.Fixtures;
import cairnbridge.config.FleetConfig;
import cairnbridge.recovery.DurableState;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * A proxy with all optional parts enabled has exactly the metrics that the fixture lists, recorded
 * from an earlier version.
 */
class StatsNamesTest extends ProxyTestSupport {
    private static final String FLEET =
            """
            cluster = "c"
            secret-file = "secret"
            bind = "127.0.0.1:0"
            zone = "a"
            [zones]
            voters = ["p"]
            state = "%s"
            node-ops-per-s = 100
            [recovery]
            folder = "store"
            """;

    private ProxyServer startMember() throws Exception {
        Files.writeString(folder.resolve("secret"), "sixteen bytes or more");
        Path fleet = folder.resolve("fleet.toml");
        Files.writeString(fleet, FLEET.formatted(folder.resolve("zones.state")));
        FleetConfig config = FleetConfig.read(fleet.toString(), "p");
        DurableState durableState =
                DurableState.open(
                        config.recovery().orElseThrow(),
                        config.transport().identity().generation(),
                        line -> {});
        ProxyServer server =
                new ProxyServer(
                        config("{}", discovery.address()), () -> criticalThreadEnded = true, clock);
        server.joinFleet(
                config.withPersisted(
                        durableState.generation(), durableState.persistedPeerEndpoints()),
                Optional.of(durableState));
        closeables.add(server::stop);
        server.start();
        return server;
    }

    private static String stats(InetSocketAddress address) throws Exception {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.getOutputStream().write("stats\n".getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    @Test
    void metricNamesAndTypesMatchTheRecordedOnes() throws Exception {
        extraConfig = "\"admin_addr\":\"127.0.0.1:0\",";
        discovery = new StubServer(request -> HEARTBEATS_ONLY);

        List<String> names =
                stats(startMember().adminAddress())
                        .lines()
                        .filter(line -> line.startsWith("lb."))
                        .map(line -> line.replaceFirst(":[^|]*\\|", "|"))
                        .sorted()
                        .toList();

        assertEquals(Fixtures.text("stats-names.txt").lines().sorted().toList(), names);
    }
}

package cairnbridge.proxy;

import cairnbridge.config.FleetConfig;
import cairnbridge.config.ProxyConfig;
import cairnbridge.fleet.FleetMember;
import cairnbridge.fleet.coordination.FleetLoadCounters;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The membership of a proxy in its fleet, set up before the proxy starts. */
final class FleetMembership implements FleetParticipation {
    private final FleetMember member;
    private final FleetLink link;
    private final Persistence persistence;

    private FleetMembership(FleetMember member, FleetLink link, Persistence persistence) {
        this.member = member;
        this.link = link;
        this.persistence = persistence;
    }

    /**
     * Makes a proxy a member of a fleet. It exchanges no messages with other members before {@link
     * #start}.
     *
     * @param loadCounters counts the proxy's load for the fleet from now on
     * @param persistence the proxy's persistence, which this method starts
     * @throws IOException if an address is not available; the message names the address
     */
    static FleetMembership join(
            ProxyComponents components,
            FleetConfig fleetConfig,
            FleetLoadCounters loadCounters,
            Persistence persistence)
            throws IOException {
        ProxyConfig config = components.config();
        FleetLink link =
                new FleetLink(
                        config,
                        components.clock(),
                        components.listenerState(),
                        components.coordinator(),
                        loadCounters,
                        components.discoveryWatch(),
                        components.eventQueue(),
                        persistence.recoveryLink().orElse(null));
        FleetMember member =
                new FleetMember(
                        fleetConfig,
                        config.settings().proxy().count(),
                        announcedAddresses(config),
                        config.seed(),
                        persistence.planEpochs(),
                        link);
        link.setMember(member);
        persistence.start(member);
        components.coordinator().setLoadCounters(loadCounters);
        components.discoveryWatch().setPollPermission(member::mayPollDiscovery);
        FleetMembership membership = new FleetMembership(member, link, persistence);
        components.metrics().addMetrics(membership::metrics);
        return membership;
    }

    private static FleetMember.Addresses announcedAddresses(ProxyConfig config) {
        String admin = config.network().admin().map(FleetMembership::hostAndPort).orElse("");
        return new FleetMember.Addresses(hostAndPort(config.network().listen()), admin);
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private Map<String, Long> metrics() {
        Map<String, Long> metrics = new LinkedHashMap<>(member.metrics());
        metrics.putAll(link.placementMetrics());
        metrics.putAll(persistence.metrics());
        return metrics;
    }

    @Override
    public void start() {
        member.start();
    }

    @Override
    public void leave() throws InterruptedException {
        member.leave();
    }

    @Override
    public void stop() {
        member.stop();
    }

    @Override
    public Optional<String> status(String command, String id) {
        return member.status(command, id);
    }

    @Override
    public Optional<CompletableFuture<String>> zoneCommand(String line) {
        return member.zoneCommand(line);
    }
}

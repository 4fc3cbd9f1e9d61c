package cairnbridge.config;

import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.membership.SwimProtocol;
import cairnbridge.fleet.membership.SwimSettings;
import cairnbridge.fleet.transport.TransportSettings;
import cairnbridge.recovery.RecoverySettings;
import cairnbridge.store.StoreSettings;
import cairnbridge.time.Ticks;
import cairnbridge.zones.ZoneSettings;
import cairnbridge.zones.plan.PlannerSettings;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.Charset;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Reads and checks the tables of a fleet file. All keys of the file are defined here. */
final class FleetConfigReader {
    private static final String FLEET = "fleet";
    private static final Set<String> FLEET_KEYS =
            Set.of(
                    "cluster",
                    "secret-file",
                    "name",
                    "bind",
                    "advertise",
                    "seeds",
                    "zone",
                    "region",
                    "protocol",
                    "bytes-per-s",
                    "life",
                    "routes",
                    "view",
                    "use",
                    "zones",
                    "recovery");
    private static final Set<String> VIEW_KEYS =
            Set.of(
                    "probe-every-s",
                    "probe-timeout-s",
                    "gossip-every-s",
                    "sync-every-s",
                    "remember-dead-s",
                    "remember-left-s",
                    "members",
                    "datagram");
    private static final Set<String> USE_KEYS =
            Set.of("shares", "hints", "probes", "probe-nodes-every-s", "list-calls");
    private static final Set<String> ZONES_KEYS =
            Set.of(
                    "agreed",
                    "voters",
                    "state",
                    "node-ops-per-s",
                    "regions",
                    "step-away",
                    "step-back",
                    "step-every-s",
                    "hold-s",
                    "origin-fetches-per-s",
                    "alone-part");
    private static final Set<String> RECOVERY_KEYS =
            Set.of(
                    "folder",
                    "snapshot-every-s",
                    "bytes-per-s",
                    "most-age-s",
                    "alone-after-s",
                    "origin-in-flight",
                    "open-after-s");

    private static final int MIN_SECRET_BYTES = 16;
    private static final int MIN_DATAGRAM_BYTES = 1_000;
    private static final int MAX_DATAGRAM_BYTES = 8_000;
    private static final int MAX_MEMBERS = 100_000;
    private static final int MAX_VOTERS = 9;
    private static final double DEFAULT_BYTES_PER_SECOND = 60_000;
    private static final double MIN_BYTES_PER_SECOND = 2_000;
    private static final double DEFAULT_SNAPSHOT_BYTES_PER_SECOND = 1e6;
    private static final double MIN_SNAPSHOT_BYTES_PER_SECOND = 1_000;
    private static final double MAX_RATE = 1e9;
    private static final double MAX_GENERATION = 1e18;
    private static final double MIN_NODE_RATE = 0.001;
    private static final double MIN_STEP = 0.01;
    private static final double DEFAULT_ORIGIN_IN_FLIGHT = 16;
    private static final double MAX_ORIGIN_IN_FLIGHT = 1e6;
    private static final double DEFAULT_REROUTED_SHARE = 0.2;
    private static final long DEFAULT_HEALTH_CHECK_INTERVAL = 2 * Ticks.SECOND;
    private static final long DEFAULT_SNAPSHOT_INTERVAL = 2 * Ticks.SECOND;
    private static final long DEFAULT_MAX_STATE_AGE = 86_400 * Ticks.SECOND;
    private static final long DEFAULT_QUORUM_TIMEOUT = 10 * Ticks.SECOND;
    private static final long DEFAULT_MAX_DURATION = 120 * Ticks.SECOND;

    private final JsonNode root;
    private final Path folder;

    /** Creates a reader for the content of a file; relative paths are resolved in the folder. */
    FleetConfigReader(String text, Path folder) {
        root = TomlFile.parse(text, FLEET);
        this.folder = folder;
    }

    FleetConfig read(String defaultName) {
        TomlTable fleet = new TomlTable(root, FLEET, FLEET_KEYS);
        TomlTable view = table("view", VIEW_KEYS);
        TomlTable use = table("use", USE_KEYS);
        TransportSettings transport = transport(fleet, defaultName);
        return new FleetConfig(
                transport,
                membership(view),
                new FleetConfig.Location(fleet.text("zone", ""), fleet.text("region", "")),
                new FleetConfig.Uses(
                        use.flag("shares", true),
                        use.flag("hints", true),
                        use.flag("probes", false),
                        use.duration("probe-nodes-every-s", DEFAULT_HEALTH_CHECK_INTERVAL, 0.1),
                        use.flag("list-calls", true)),
                zones(),
                recovery(transport.cluster().name()));
    }

    private TomlTable table(String key, Set<String> keys) {
        return new TomlTable(root.path(key), FLEET + "." + key, keys);
    }

    private TransportSettings transport(TomlTable fleet, String defaultName) {
        String name = fleet.text("name", defaultName);
        if (!MemberId.isValidName(name)) {
            throw fleet.invalid("name", "is not a valid member name: " + name);
        }
        Optional<Endpoint> advertised =
                Optional.of(fleet.text("advertise", ""))
                        .filter(text -> !text.isEmpty())
                        .map(text -> endpoint(fleet, "advertise", text));
        TransportSettings.Cluster cluster =
                new TransportSettings.Cluster(fleet.requiredText("cluster"), secret(fleet));
        TransportSettings.Address address =
                new TransportSettings.Address(bindAddress(fleet), advertised, routes(fleet));
        SwimProtocol.Contacts contacts = SwimProtocol.Contacts.seeds(seeds(fleet));
        int newestVersion = TransportSettings.NEWEST_PROTOCOL_VERSION;
        int version = (int) fleet.number("protocol", newestVersion, 1, newestVersion);
        long bytesPerSecond =
                (long)
                        fleet.number(
                                "bytes-per-s",
                                DEFAULT_BYTES_PER_SECOND,
                                MIN_BYTES_PER_SECOND,
                                MAX_RATE);
        long generation =
                (long) fleet.number("life", (double) System.currentTimeMillis(), 1, MAX_GENERATION);
        return new TransportSettings(
                new TransportSettings.Identity(new MemberId(name), generation),
                cluster,
                address,
                contacts,
                version,
                bytesPerSecond);
    }

    private byte[] secret(TomlTable fleet) {
        String file = fleet.requiredText("secret-file");
        try {
            String text = Files.readString(folder.resolve(file)).strip();
            // Uses the platform's default charset, as earlier versions do: these bytes are the key
            // that authenticates every frame, so all members must read the same bytes.
            byte[] secret = text.getBytes(Charset.defaultCharset());
            if (secret.length < MIN_SECRET_BYTES) {
                throw fleet.invalid(
                        "secret-file", "holds fewer than " + MIN_SECRET_BYTES + " bytes: " + file);
            }
            return secret;
        } catch (IOException | InvalidPathException e) {
            throw fleet.invalid("secret-file", "cannot be read: " + file);
        }
    }

    private static InetSocketAddress bindAddress(TomlTable fleet) {
        String text = fleet.requiredText("bind");
        return IpAddresses.parse(text)
                .orElseThrow(() -> fleet.invalid("bind", "is not an address and a port: " + text));
    }

    private static Endpoint endpoint(TomlTable table, String key, String text) {
        try {
            Endpoint endpoint = Endpoint.parse(text);
            endpoint.toSocketAddress(); // Throws unless the host is an IP address.
            return endpoint;
        } catch (IllegalArgumentException e) {
            throw table.invalid(key, "is not an address and a port: " + text);
        }
    }

    private static List<Endpoint> seeds(TomlTable fleet) {
        JsonNode list = fleet.value("seeds");
        if (!list.isMissingNode() && !list.isArray()) {
            throw fleet.invalid("seeds", "is not a list");
        }
        List<Endpoint> seeds = new ArrayList<>();
        for (JsonNode seed : list) {
            seeds.add(endpoint(fleet, "seeds", seed.asText()));
        }
        return seeds;
    }

    private static Map<Endpoint, Endpoint> routes(TomlTable fleet) {
        JsonNode table = fleet.value("routes");
        if (!table.isMissingNode() && !table.isObject()) {
            throw fleet.invalid("routes", "is not a table");
        }
        Map<Endpoint, Endpoint> routes = new HashMap<>();
        for (Map.Entry<String, JsonNode> route : table.properties()) {
            routes.put(
                    endpoint(fleet, "routes", route.getKey()),
                    endpoint(fleet, "routes", route.getValue().asText()));
        }
        return Map.copyOf(routes);
    }

    private static SwimSettings membership(TomlTable view) {
        SwimSettings defaults = SwimSettings.DEFAULT;
        long probeInterval = view.duration("probe-every-s", defaults.probeInterval(), 0.05);
        long probeTimeout = view.duration("probe-timeout-s", defaults.probeTimeout(), 0.01);
        if (probeTimeout * 2 > probeInterval) {
            throw view.invalid("probe-timeout-s", "is more than half of probe-every-s");
        }
        return SwimSettings.builder()
                .probes(probeInterval, probeTimeout)
                .gossipInterval(view.duration("gossip-every-s", defaults.gossipInterval(), 0.01))
                .antiEntropyInterval(
                        view.duration("sync-every-s", defaults.antiEntropyInterval(), 0.1))
                .retention(
                        view.duration("remember-dead-s", defaults.deadRetention(), 1),
                        view.duration("remember-left-s", defaults.leftRetention(), 1))
                .maxMembers((int) view.number("members", defaults.maxMembers(), 2, MAX_MEMBERS))
                .maxDatagramBytes(
                        (int)
                                view.number(
                                        "datagram",
                                        defaults.maxDatagramBytes(),
                                        MIN_DATAGRAM_BYTES,
                                        MAX_DATAGRAM_BYTES))
                .build();
    }

    /** Reads the settings of zone plans; empty if the file has no such table. */
    Optional<ZoneSettings> zones() {
        if (!root.has("zones")) {
            return Optional.empty();
        }
        TomlTable zones = table("zones", ZONES_KEYS);
        boolean agreed = zones.flag("agreed", true);
        List<MemberId> voters = voters(zones, agreed);
        Map<String, String> regions = new HashMap<>();
        for (Map.Entry<String, JsonNode> region : zones.value("regions").properties()) {
            regions.put(region.getKey(), region.getValue().asText());
        }
        PlannerSettings planner = plannerSettings(zones);
        return Optional.of(
                new ZoneSettings(
                        agreed,
                        List.copyOf(voters),
                        folder.resolve(zones.text("state", "zones.state")),
                        zones.number("node-ops-per-s", Double.NaN, MIN_NODE_RATE, MAX_RATE),
                        Map.copyOf(regions),
                        planner,
                        zones.number("alone-part", DEFAULT_REROUTED_SHARE, 0, 1)));
    }

    private static List<MemberId> voters(TomlTable zones, boolean agreed) {
        List<MemberId> voters = new ArrayList<>();
        for (JsonNode voter : zones.value("voters")) {
            if (!MemberId.isValidName(voter.asText())) {
                throw zones.invalid("voters", "contains an invalid member name: " + voter.asText());
            }
            voters.add(new MemberId(voter.asText()));
        }
        boolean distinct = Set.copyOf(voters).size() == voters.size();
        boolean usable = voters.size() % 2 == 1 && voters.size() <= MAX_VOTERS && distinct;
        if (agreed && !usable) {
            throw zones.invalid(
                    "voters", "must be an odd number of different members, at most " + MAX_VOTERS);
        }
        return voters;
    }

    private static PlannerSettings plannerSettings(TomlTable zones) {
        PlannerSettings defaults = PlannerSettings.DEFAULT;
        return new PlannerSettings(
                zones.number("step-away", defaults.maxShareAway(), MIN_STEP, 1),
                zones.number("step-back", defaults.maxShareBack(), MIN_STEP, 1),
                zones.duration("step-every-s", defaults.stepInterval(), 0.1),
                zones.duration("hold-s", defaults.holdDown(), 0),
                defaults.targetUtilization(),
                defaults.returnUtilization(),
                defaults.degradedShare(),
                zones.number("origin-fetches-per-s", defaults.maxMovedPerSecond(), 1, MAX_RATE));
    }

    /** Reads the settings of recovery from a power loss; empty if the file has no such table. */
    Optional<RecoverySettings> recovery(String cluster) {
        if (!root.has("recovery")) {
            return Optional.empty();
        }
        TomlTable recovery = table("recovery", RECOVERY_KEYS);
        StoreSettings store =
                new StoreSettings(
                        storeFolder(recovery),
                        cluster,
                        Ticks.toMillis(
                                recovery.duration(
                                        "snapshot-every-s", DEFAULT_SNAPSHOT_INTERVAL, 0.1)),
                        (long)
                                recovery.number(
                                        "bytes-per-s",
                                        DEFAULT_SNAPSHOT_BYTES_PER_SECOND,
                                        MIN_SNAPSHOT_BYTES_PER_SECOND,
                                        MAX_RATE));
        return Optional.of(
                new RecoverySettings(
                        store,
                        recovery.duration("most-age-s", DEFAULT_MAX_STATE_AGE, 1),
                        recovery.duration("alone-after-s", DEFAULT_QUORUM_TIMEOUT, 0.5),
                        recovery.number(
                                "origin-in-flight",
                                DEFAULT_ORIGIN_IN_FLIGHT,
                                1,
                                MAX_ORIGIN_IN_FLIGHT),
                        recovery.duration("open-after-s", DEFAULT_MAX_DURATION, 1)));
    }

    private Path storeFolder(TomlTable recovery) {
        try {
            return folder.resolve(recovery.requiredText("folder"));
        } catch (InvalidPathException e) {
            throw recovery.invalid("folder", "is not a valid path");
        }
    }
}

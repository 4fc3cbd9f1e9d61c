package cairnbridge.config;

import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.membership.SwimSettings;
import cairnbridge.fleet.transport.TransportSettings;
import cairnbridge.recovery.RecoverySettings;
import cairnbridge.zones.ZoneSettings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * The configuration of a fleet and of this member, read from a TOML file; {@code deploy/fleet.toml}
 * is an example.
 *
 * @param transport the identity of this member, its cluster and its addresses
 * @param membership the parameters of the membership protocol
 * @param location the zone and the region of this member
 * @param uses the features that use the fleet's membership view
 * @param zones the settings of zone plans; empty if zone plans are off
 * @param recovery the settings of recovery from a power loss; empty if recovery is off
 */
public record FleetConfig(
        TransportSettings transport,
        SwimSettings membership,
        Location location,
        Uses uses,
        Optional<ZoneSettings> zones,
        Optional<RecoverySettings> recovery) {

    /** The zone and the region of a member; an empty string if the file does not set them. */
    public record Location(String zone, String region) {}

    /**
     * The features that use the fleet's membership view.
     *
     * @param quotasFollowFleet whether fleet-wide limits are divided among the live members
     * @param suspectsNodes whether nodes that most members cannot reach are suspected
     * @param sharesHealthChecks whether each node is checked by only one member of a zone
     * @param healthCheckInterval the time between two health checks of a node, in ticks
     * @param sharesDiscoveryPolls whether only a few members poll discovery while it does not
     *     answer
     */
    public record Uses(
            boolean quotasFollowFleet,
            boolean suspectsNodes,
            boolean sharesHealthChecks,
            long healthCheckInterval,
            boolean sharesDiscoveryPolls) {}

    /**
     * Reads and checks a file.
     *
     * @param defaultName the name of the member if the file does not set one
     * @throws ConfigurationException if the file is invalid; the message begins with the faulty key
     */
    public static FleetConfig read(String file, String defaultName) {
        try {
            Path path = Path.of(file);
            return parse(Files.readString(path), path.toAbsolutePath().getParent(), defaultName);
        } catch (IOException | InvalidPathException e) {
            throw new ConfigurationException("--fleet", "cannot be read: " + file);
        }
    }

    /**
     * Parses and checks the content of a file.
     *
     * @param folder the folder against which relative paths are resolved
     */
    static FleetConfig parse(String text, Path folder, String defaultName) {
        return new FleetConfigReader(text, folder).read(defaultName);
    }

    /**
     * Reads only the recovery table of a file; empty if the file has no such table.
     *
     * @param cluster the name of the cluster whose state is persisted
     */
    public static Optional<RecoverySettings> recoveryOf(String text, String cluster) {
        return new FleetConfigReader(text, Path.of("")).recovery(cluster);
    }

    /** Reads only the zones table of a file; empty if the file has no such table. */
    public static Optional<ZoneSettings> zonesOf(String text) {
        return new FleetConfigReader(text, Path.of("")).zones();
    }

    /**
     * A copy of this configuration with this run's generation and the member endpoints persisted by
     * an earlier run; see {@link TransportSettings#withPersisted}.
     */
    public FleetConfig withPersisted(long generation, List<Endpoint> remembered) {
        return new FleetConfig(
                transport.withPersisted(generation, remembered),
                membership,
                location,
                uses,
                zones,
                recovery);
    }
}

package cairnbridge.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.membership.SwimSettings;
import cairnbridge.recovery.RecoverySettings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The fleet file: its values, its defaults and the messages for invalid files. */
class FleetConfigTest {
    private static final String MINIMAL_CONFIG =
            "cluster = \"c\"\nsecret-file = \"secret\"\nbind = \"127.0.0.1:0\"\n";
    @TempDir Path folder;

    @BeforeEach
    void writeSecretFiles() throws IOException {
        Files.writeString(folder.resolve("secret"), "sixteen bytes or more");
        Files.writeString(folder.resolve("short"), "too short");
    }

    @Test
    void anAbsentKeyHasItsDefault() {
        FleetConfig config = FleetConfig.parse(MINIMAL_CONFIG, folder, "p1");
        assertEquals(SwimSettings.DEFAULT, config.membership());
        assertEquals("p1", config.transport().identity().id().name());
        assertTrue(
                config.uses().quotasFollowFleet()
                        && config.uses().suspectsNodes()
                        && config.uses().sharesDiscoveryPolls());
        assertFalse(config.uses().sharesHealthChecks());
    }

    @Test
    void theFileUnderDeployIsValidAndMatchesTheDefaults() throws IOException {
        Files.writeString(folder.resolve("fleet.secret"), "sixteen bytes or more");
        FleetConfig config =
                FleetConfig.parse(Files.readString(Path.of("deploy/fleet.toml")), folder, "p1");
        assertEquals(SwimSettings.DEFAULT, config.membership());
        assertEquals(
                List.of(new Endpoint("127.0.0.1", 7946)), config.transport().contacts().seeds());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "cluster = 7 | fleet.cluster: is not a string",
                "cluster = \"\" | fleet.cluster: is not set",
                "bind = \"here:1\" | fleet.bind: is not an address and a port: here:1",
                "secret-file = \"none\" | fleet.secret-file: cannot be read: none",
                "secret-file = \"short\" | fleet.secret-file: holds fewer than 16 bytes: short",
                "name = \"a b\" | fleet.name: is not a valid member name: a b",
                "advertise = \"10.0.0.1\" | fleet.advertise: is not an address and a port:"
                        + " 10.0.0.1",
                "seeds = \"10.0.0.1:1\" | fleet.seeds: is not a list",
                "seeds = [\"x\"] | fleet.seeds: is not an address and a port: x",
                "protocol = 3 | fleet.protocol: is not a number from 1 to 2",
                "bytes-per-s = 10 | fleet.bytes-per-s: is not a number from 2000 to 1000000000",
                "zone-s = [] | fleet.zone-s: is not a key of this table",
                "zones = 3 | fleet.zones: is not a table",
                "zones.voters = [\"p1\", \"p2\"] | fleet.zones.voters: must be an odd number of"
                        + " different members, at most 9",
                "zones.voters = [\"p 1\"] | fleet.zones.voters: contains an invalid member"
                        + " name: p 1",
                "zones.voters = [\"p1\"] | fleet.zones.node-ops-per-s: is not a number from 0.001"
                        + " to 1000000000",
                "zones.hold = 3 | fleet.zones.hold: is not a key of this table",
                "recovery = 3 | fleet.recovery: is not a table",
                "recovery.most-age-s = 3 | fleet.recovery.folder: is not set",
                "recovery = {folder = \"s\", most-age-s = 0} | fleet.recovery.most-age-s: is not a "
                        + "number from 1 to 1000000",
                "recovery = {folder = \"s\", origin = 4} | fleet.recovery.origin: is not a key of"
                        + " this table",
                "view = 3 | fleet.view: is not a table",
                "view.probe-every-s = \"1\" | fleet.view.probe-every-s: is not a number from 0.05"
                        + " to 1000000",
                "view.probe-timeout-s = 0.4 | fleet.view.probe-timeout-s: is more than half of"
                        + " probe-every-s",
                "view.datagram = 100 | fleet.view.datagram: is not a number from 1000 to 8000",
                "use.shares = 1 | fleet.use.shares: is not true or false",
                "use.sharse = true | fleet.use.sharse: is not a key of this table",
                "routes.\"10.0.0.1:1\" = \"x\" | fleet.routes: is not an address and a port: x"
            })
    void anErrorMessageBeginsWithTheFaultyKey(String line, String expectedMessage) {
        String key = line.substring(0, line.indexOf(' '));
        String text =
                MINIMAL_CONFIG
                                .lines()
                                .filter(other -> !other.startsWith(key + " "))
                                .reduce("", (a, b) -> a + b + "\n")
                        + line
                        + "\n";
        assertEquals(
                expectedMessage,
                assertThrows(
                                ConfigurationException.class,
                                () -> FleetConfig.parse(text, folder, "p"))
                        .getMessage());
    }

    @Test
    void theRecoveryFolderIsRelativeToTheFileAndOtherKeysHaveDefaults() {
        assertTrue(FleetConfig.parse(MINIMAL_CONFIG, folder, "p1").recovery().isEmpty());
        RecoverySettings recovery =
                FleetConfig.parse(MINIMAL_CONFIG + "recovery.folder = \"store\"\n", folder, "p1")
                        .recovery()
                        .orElseThrow();
        assertEquals(folder.resolve("store"), recovery.store().directory());
        assertEquals("c", recovery.store().cluster());
        assertEquals(2_000, recovery.store().snapshotIntervalMillis());
        assertEquals(100_000, recovery.quorumTimeout());
    }

    @Test
    void aSyntaxErrorIsReportedWithItsLine() {
        ConfigurationException exception =
                assertThrows(
                        ConfigurationException.class,
                        () -> FleetConfig.parse(MINIMAL_CONFIG + "seeds = [\n=\n", folder, "p"));
        assertTrue(
                exception.getMessage().startsWith("fleet: line 5 is not valid TOML: "),
                exception.getMessage());
        assertFalse(exception.getMessage().contains("\n"));
    }
}

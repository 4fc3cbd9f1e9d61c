package cairnbridge.zones.consensus;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import cairnbridge.Fixtures;
import cairnbridge.store.FileStorageDirectory;
import cairnbridge.zones.plan.Plan;
import cairnbridge.zones.plan.PlanFormatTest;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The state file and the messages of voters must stay compatible with the fixtures, which an
 * earlier version has written.
 */
class VoterFormatTest {
    private static final Plan PLAN = PlanFormatTest.fixture();
    private static final Ballot LOWER = new Ballot(4, "proxy-a");
    private static final Ballot HIGHER = new Ballot(5, "proxy-b");
    private static final AcceptorState STORED = new AcceptorState(HIGHER, LOWER, PLAN);
    @TempDir Path folder;

    private static Map<String, ConsensusMessage> messages() {
        return Map.of(
                "prepare", new ConsensusMessage.Prepare(HIGHER),
                "promise", new ConsensusMessage.Promise(HIGHER, LOWER, PLAN),
                "accept", new ConsensusMessage.Accept(HIGHER, PLAN),
                "accepted", new ConsensusMessage.Accepted(HIGHER),
                "refused", new ConsensusMessage.Rejected(LOWER, HIGHER));
    }

    @Test
    void aStateFileOfAnEarlierVersionIsRead() throws Exception {
        Fixtures.copy("voter", folder, "zones.state");

        assertEquals(
                STORED,
                new AcceptorStateFile(new FileStorageDirectory(folder), "zones.state").read());
    }

    @Test
    void theSameStateIsWrittenAsTheSameFile() throws Exception {
        AcceptorStateFile file =
                new AcceptorStateFile(new FileStorageDirectory(folder), "zones.state");
        file.write(new AcceptorState(LOWER, Ballot.NONE, Plan.EMPTY));
        file.write(STORED);

        assertArrayEquals(
                Fixtures.bytes("voter/zones.state"),
                Files.readAllBytes(folder.resolve("zones.state")));
        try (var files = Files.list(folder)) {
            assertEquals(
                    List.of("zones.state"),
                    files.map(entry -> entry.getFileName().toString()).toList());
        }
    }

    @Test
    void messagesKeepTheirEncoding() throws Exception {
        for (Map.Entry<String, ConsensusMessage> entry : messages().entrySet()) {
            byte[] fixture = Fixtures.bytes("votes/" + entry.getKey() + ".cbor");
            assertEquals(entry.getValue(), ConsensusCodec.decodeMessage(fixture));
            assertArrayEquals(fixture, ConsensusCodec.encode(entry.getValue()), entry.getKey());
        }
    }
}

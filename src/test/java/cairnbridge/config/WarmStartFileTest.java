package cairnbridge.config;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import cairnbridge.Fixtures;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.WarmStartState;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a change in the format of the warm start file, which proxies of an earlier version
 * write and read as well.
 */
class WarmStartFileTest {
    @TempDir Path folder;

    private static WarmStartState state(double sendRate) {
        Map<NodeId, WarmStartState.SavedHealth> nodes = new LinkedHashMap<>();
        nodes.put(new NodeId(-7), new WarmStartState.SavedHealth(16_999_999_990_000L, 0.5));
        nodes.put(new NodeId(0x1f), new WarmStartState.SavedHealth(0, 1));
        return new WarmStartState(17_000_001_234_560L, 123.5, sendRate, nodes);
    }

    @Test
    void aFileOfAnEarlierVersionIsRead() throws Exception {
        Fixtures.copy("", folder, "learnt");

        // The file does not contain the send rate, so it is 0 after reading.
        assertEquals(state(0), WarmStartFile.read(folder.resolve("learnt")));
    }

    @Test
    void theStateIsWrittenAsTheSameBytesAsByAnEarlierVersion() throws Exception {
        Path file = folder.resolve("learnt");
        WarmStartFile.write(file, state(77.25));

        assertArrayEquals(Fixtures.bytes("learnt"), Files.readAllBytes(file));
    }
}

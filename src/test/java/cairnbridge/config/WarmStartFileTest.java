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

/** The file that a proxy leaves to its next start keeps the form of an earlier version. */
class WarmStartFileTest {
    @TempDir Path folder;

    private static WarmStartState learnt(double sendRate) {
        Map<NodeId, WarmStartState.SavedHealth> nodes = new LinkedHashMap<>();
        nodes.put(new NodeId(-7), new WarmStartState.SavedHealth(16_999_999_990_000L, 0.5));
        nodes.put(new NodeId(0x1f), new WarmStartState.SavedHealth(0, 1));
        return new WarmStartState(17_000_001_234_560L, 123.5, sendRate, nodes);
    }

    @Test
    void aFileOfAnEarlierVersionIsRead() throws Exception {
        Fixtures.copy("", folder, "learnt");

        // The send rate is no part of the file.
        assertEquals(learnt(0), WarmStartFile.read(folder.resolve("learnt")));
    }

    @Test
    void theSameIsWrittenAsTheSameBytes() throws Exception {
        Path file = folder.resolve("learnt");
        WarmStartFile.write(file, learnt(77.25));

        assertArrayEquals(Fixtures.bytes("learnt"), Files.readAllBytes(file));
    }
}

package cairnbridge.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cairnbridge.Fixtures;
import org.junit.jupiter.api.Test;

/**
 * Guards against a change of the JSON format in which the endpoint list is persisted and sent to
 * other members: the list has to match files that an earlier version wrote.
 */
class EndpointListFormatTest {
    @Test
    void linesOfAWatchGiveTheSameList() throws Exception {
        EndpointListAssembler assembler = new EndpointListAssembler();
        Fixtures.text("list/told.jsonl").lines().forEach(assembler::lineReceived);

        assertEquals(44, assembler.version());
        assertEquals(Fixtures.text("list/kept.json"), assembler.endpointList());
    }

    @Test
    void aPersistedListIsReadLikeALineOfAWatch() throws Exception {
        EndpointListAssembler assembler = new EndpointListAssembler();
        assembler.lineReceived(Fixtures.text("list/kept.json"));

        assertEquals(44, assembler.version());
        assertEquals(Fixtures.text("list/kept.json"), assembler.endpointList());
    }

    @Test
    void aListWithNewStartTimesKeepsItsFormat() throws Exception {
        assertEquals(
                Fixtures.text("list/started-now.json"),
                EndpointListAssembler.withStartTimes(
                        Fixtures.text("list/kept.json"), 1_700_000_555_000L));
    }
}

package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.util.CharArrayBuffer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which lines of heads and trailers are kept in memory, and what they reserve. */
class HeadInputTest {
    private static final String START_LINE = "GET /view/1 HTTP/1.1";
    private static final int BUDGET_BYTES = 20_000;

    private final MemoryBudget budget = new MemoryBudget(BUDGET_BYTES);
    private final HeadMemory memory = new HeadMemory(budget);
    private final HeadInput headInput = new HeadInput(Set.of("x-used", "content-length"), memory);

    /** An input that consists of complete lines. */
    private static final class LineInput extends FilteredInput {
        private final Queue<String> lines;

        LineInput(List<String> lines) {
            this.lines = new ArrayDeque<>(lines);
        }

        @Override
        public boolean readLine(CharArrayBuffer line, boolean ended) {
            if (lines.isEmpty()) {
                return false;
            }
            line.append(lines.remove());
            return true;
        }
    }

    private static List<String> readAll(FilteredInput filtered, List<String> lines)
            throws IOException {
        filtered.over(new LineInput(lines));
        List<String> kept = new ArrayList<>();
        CharArrayBuffer line = new CharArrayBuffer(8);
        while (filtered.readLine(line, false)) {
            kept.add(line.toString());
            line.clear();
        }
        return kept;
    }

    private static String longLine(String name, int length) {
        return name + ": " + "a".repeat(length);
    }

    /** Guards against heads that fill the heap with headers nobody reads. */
    @Test
    void linesOfUnusedHeadersAreLeftOut() throws IOException {
        List<String> kept =
                readAll(
                        headInput,
                        List.of(
                                START_LINE,
                                longLine("X-Note", 4000),
                                "\tcontinued",
                                "X-USED: 1",
                                " continued",
                                "X-Note: 2",
                                ""));
        assertEquals(List.of(START_LINE, "X-USED: 1", " continued", ""), kept);
        assertEquals(0, budget.reservedBytes());
    }

    /** Guards against a request that is smuggled behind a length the library does not see. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length : 5", "no colon", ": no name", "Bad Name: 1"})
    void aMalformedLineIsLeftToTheLibrary(String line) throws IOException {
        assertEquals(List.of(START_LINE, line), readAll(headInput, List.of(START_LINE, line)));
    }

    @Test
    void unusedHeadersCountTowardsTheLimit() {
        List<String> lines = new ArrayList<>(List.of(START_LINE));
        lines.addAll(Collections.nCopies(HttpSettings.MAX_HEADERS + 1, "X-Note: 1"));
        assertThrows(MessageConstraintException.class, () -> readAll(headInput, lines));
    }

    /** Guards against heads of used headers that fill the heap in sum. */
    @Test
    void longUsedHeadersAreTakenFromTheBudgetUntilTheirExchangeIsOver() throws IOException {
        List<String> head = List.of(START_LINE, longLine("X-Used", 4000), "");
        readAll(headInput, head);
        headInput.headComplete();
        assertEquals(
                4 * (START_LINE.length() + 4008 - 1024L), budget.reservedBytes(), "reserved bytes");
        HeadInput other = new HeadInput(Set.of("x-used"), new HeadMemory(budget));
        assertThrows(MessageConstraintException.class, () -> readAll(other, head));

        memory.release();
        assertEquals(0, budget.reservedBytes());
    }

    @Test
    void trailersAreLeftOutAndChunksAreNot() throws IOException {
        List<String> lines = List.of("5;a=b", "", "00;last", "X-Note: 1", "X-Used: 2", "", "10");
        assertEquals(List.of("5;a=b", "", "00;last", "", "10"), readAll(new ChunkInput(), lines));
    }

    /** Guards against a kept connection that breaks after some messages with trailers. */
    @Test
    void theLimitOnTrailersHoldsForEachMessage() throws IOException {
        ChunkInput chunks = new ChunkInput();
        for (int i = 0; i <= HttpSettings.MAX_HEADERS; i++) {
            assertEquals(List.of("0", ""), readAll(chunks, List.of("0", "X-Note: 1", "")));
        }
    }
}

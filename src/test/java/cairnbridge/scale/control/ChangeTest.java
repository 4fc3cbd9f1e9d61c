package cairnbridge.scale.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Which changes are made, and from when on they count as known. */
class ChangeTest {
    private static final double TOLERANCE = 1e-9;

    private static List<ChangeChooser.Choice> choices(long seed) {
        ChangeChooser chooser = new ChangeChooser(20, 3, seed);
        return IntStream.range(0, 60).mapToObj(i -> chooser.next()).toList();
    }

    private static ChangeResult known(int by, int expected) {
        return new ChangeResult(
                ChangeKind.KILL,
                expected,
                DoubleStream.iterate(by, left -> left - 1).limit(by).boxed().toList());
    }

    @Test
    void theSameSeedMakesTheSameChanges() {
        assertEquals(choices(1), choices(1));
        assertFalse(choices(1).equals(choices(2)));
    }

    @Test
    void seedsAreSparedAndEachStrikeIsUndoneNext() {
        List<ChangeChooser.Choice> choices = choices(7);
        assertTrue(choices.stream().allMatch(choice -> choice.subject() >= 3));
        for (int i = 0; i < choices.size(); i += 2) {
            assertEquals(choices.get(i).subject(), choices.get(i + 1).subject());
        }
    }

    @Test
    void aChangeIsKnownToMostAndToAllAtDifferentTimes() {
        ChangeResult result = known(200, 200);
        assertEquals(198, result.secondsToMost(), TOLERANCE);
        assertEquals(200, result.secondsToAll(), TOLERANCE);
    }

    @Test
    void aTimeThatDidNotComeIsLeftOut() {
        assertEquals(2, known(197, 200).figures().size());
        assertEquals(3, known(198, 200).figures().size());
        assertEquals(4, known(200, 200).figures().size());
        assertEquals(
                1L, ChangeSummary.of(List.of(known(198, 200))).get("changes_not_known_to_all"));
    }
}

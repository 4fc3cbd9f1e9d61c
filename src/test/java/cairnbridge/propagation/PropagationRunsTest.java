package cairnbridge.propagation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.propagation.simulated.FleetLayout;
import cairnbridge.propagation.simulated.PropagationRuns;
import cairnbridge.propagation.simulated.PropagationRuns.Plan;
import cairnbridge.propagation.simulated.PropagationRuns.Result;
import cairnbridge.time.Ticks;
import org.junit.jupiter.api.Test;

/** Checks the measurements on a small fleet in simulated time. */
class PropagationRunsTest {
    private static final long SECOND = Ticks.SECOND;
    private static final FleetLayout LAYOUT = new FleetLayout(120, 12, 3, 3);

    private static Plan configurations(boolean direct, double loss, boolean killRelay, long seed) {
        return new Plan(
                LAYOUT,
                PropagationSettings.CONFIGURATIONS,
                direct,
                loss,
                killRelay,
                20,
                600,
                true,
                5 * SECOND,
                seed);
    }

    private static Plan purges(boolean direct) {
        return new Plan(
                LAYOUT,
                PropagationSettings.PURGES,
                direct,
                0,
                false,
                20 * 16,
                60,
                false,
                SECOND / 16,
                1);
    }

    private static void assertComplete(Result result) {
        assertEquals(0, result.violations());
        assertEquals(0, result.inForce().incomplete());
        assertEquals(0, result.known().incomplete());
        assertTrue(result.known().worst() >= result.inForce().worst());
    }

    @Test
    void configurationsComeIntoForceAndAreConfirmedInTime() {
        Result result = PropagationRuns.run(configurations(false, 0, false, 1));
        assertComplete(result);
        assertTrue(result.inForce().worst() <= 3);
        assertEquals(result, PropagationRuns.run(configurations(false, 0, false, 1)));
    }

    @Test
    void allChangesArriveDespiteLossAndARelayKilledDuringEach() {
        for (long seed = 1; seed <= 3; seed++) {
            assertComplete(PropagationRuns.run(configurations(false, 0.05, true, seed)));
        }
    }

    @Test
    void purgesComeIntoForceInTimeWithinTheTrafficBudget() {
        Result result = PropagationRuns.run(purges(false));
        assertComplete(result);
        assertTrue(result.inForce().worst() <= 5.5);
        assertTrue(result.members().received() <= 3_000);
        assertTrue(result.members().sent() <= 3_000);
    }

    @Test
    void withoutRelaysControlMachinesSendMore() {
        Result tree = PropagationRuns.run(purges(false));
        Result direct = PropagationRuns.run(purges(true));
        assertComplete(direct);
        assertTrue(direct.controls().sent() > 3 * tree.controls().sent());
    }
}

package cairnbridge.lab.run;

import java.util.List;
import java.util.Map;

/**
 * What came of a run. Sums over all clients and nodes; spans in milliseconds, of ops that were served.
 *
 * @param held whether all checks held and no proxy crashed
 * @param simulatedMillis how long it was in its own time
 * @param events things that happened in the emulator, for its cost
 * @param crashes what the policy threw, by proxy
 */
public record Outcome(boolean held, long simulatedMillis, long asked, long served, long refused, long failed,
                      long lost, long repeats, long fetches, long turnedAway, long twice, long felled,
                      long pushes, long events, double medianSpan, double span99, List<Sample> samples,
                      List<Check> checks, Map<String, String> crashes) {
    /** Counts so far, at a time in milliseconds from the start. */
    public record Sample(long millis, long asked, long served, long refused, long failed, long lost,
                         long repeats, long fetches) {
    }

    /** One line of the scenario that had to hold, and its figures. */
    public record Check(int line, String step, boolean held, String figures) {
    }

    /** Of all ops that ended, the part that was served; 1 where none did. */
    public double service() {
        long ended = served + refused + failed + lost;
        return ended == 0 ? 1 : (double) served / ended;
    }
}

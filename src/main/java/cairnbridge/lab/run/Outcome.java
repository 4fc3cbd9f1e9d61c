package cairnbridge.lab.run;

import java.util.List;
import java.util.Map;

/**
 * What came of a run. Sums over all clients and nodes; spans in milliseconds, of ops that were
 * served.
 *
 * @param held whether all checks held and no proxy crashed
 * @param simulatedMillis how long it was in its own time
 * @param events things that happened in the emulator, for its cost
 * @param crashes what the policy threw, by proxy
 */
public record Outcome(
        boolean held,
        long simulatedMillis,
        long asked,
        long served,
        long refused,
        long failed,
        long lost,
        long repeats,
        long fetches,
        long turnedAway,
        long twice,
        long felled,
        long pushes,
        long events,
        double medianSpan,
        double span99,
        List<Span> spans,
        List<Sample> samples,
        List<Check> checks,
        Map<String, String> crashes) {
    /** Within so many milliseconds so many per cent of what was served were served. */
    public record Span(double percent, double millis) {}

    /**
     * Counts so far, and what is so, at a time in milliseconds from the start.
     *
     * @param zones by the zone of the proxy
     * @param running proxies that run, taking: of those, the ones that take clients
     * @param leastHeld the fewest members that any member holds alive, itself counted; 0 where all
     *     are alone
     * @param returning proxies that still hold something back after a loss of power
     * @param home by zone, what part of its traffic the newest plan serves at home, in thousandths
     */
    public record Sample(
            long millis,
            long asked,
            long served,
            long refused,
            long failed,
            long lost,
            long repeats,
            long fetches,
            Map<String, ZoneCount> zones,
            int running,
            int taking,
            int leastHeld,
            int mostHeld,
            int returning,
            Map<String, Integer> home) {}

    /** Ops that clients brought to a zone's proxies, and those served there. */
    public record ZoneCount(long asked, long served) {}

    /** One line of the scenario that had to hold, and its figures. */
    public record Check(int line, String step, boolean held, String figures) {}

    /** Of all ops that ended, the part that was served; 1 where none did. */
    public double service() {
        long ended = served + refused + failed + lost;
        return ended == 0 ? 1 : (double) served / ended;
    }
}

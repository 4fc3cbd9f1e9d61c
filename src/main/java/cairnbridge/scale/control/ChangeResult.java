package cairnbridge.scale.control;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * How far a change came.
 *
 * @param kind what was done
 * @param expected members that were to know
 * @param secondsToKnow of each that came to know, in rising order
 */
record ChangeResult(ChangeKind kind, int expected, List<Double> secondsToKnow) {
    private static final double MOST_MEMBERS = 0.99;

    ChangeResult {
        secondsToKnow = secondsToKnow.stream().sorted().toList();
    }

    boolean isKnownToAll() {
        return secondsToKnow.size() >= expected;
    }

    boolean isKnownToMost() {
        return secondsToKnow.size() >= most();
    }

    private int most() {
        return (int) Math.ceil(MOST_MEMBERS * expected);
    }

    /** Seconds until 99 of 100 members knew; only where they did. */
    double secondsToMost() {
        return secondsToKnow.get(most() - 1);
    }

    /** Seconds until the last member knew; only where all did. */
    double secondsToAll() {
        return secondsToKnow.get(expected - 1);
    }

    /** As figures; a time that did not come is left out. */
    Map<String, Number> figures() {
        Map<String, Number> figures = new LinkedHashMap<>();
        figures.put("members_expected", expected);
        figures.put("members_knowing", secondsToKnow.size());
        if (isKnownToMost()) {
            figures.put("seconds_known_99_of_100", secondsToMost());
        }
        if (isKnownToAll()) {
            figures.put("seconds_known_all", secondsToAll());
        }
        return figures;
    }
}

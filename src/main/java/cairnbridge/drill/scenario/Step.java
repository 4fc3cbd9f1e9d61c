package cairnbridge.drill.scenario;

import java.util.ArrayList;
import java.util.List;

/** One line of a scenario: what is done, or what must hold; words are those after the verb. */
public record Step(int line, Verb verb, List<String> words) {
    /** least: how many words it needs, most: how many it takes. */
    public enum Verb {
        START(1, 1),
        WAIT(1, 1),
        KILL(1, 1),
        STOP(1, 1),
        FREEZE(1, 1),
        THAW(1, 1),
        LIFE(2, 2),
        PROTOCOL(2, 2),
        CUT(1, 99),
        ONE_WAY(2, 2),
        LOSS(1, 1),
        DOUBLE(1, 1),
        REORDER(1, 1),
        DELAY(1, 1),
        HEAL(0, 0),
        CACHE_SLOW(2, 2),
        CACHE_FAILS(2, 2),
        ORIGIN_SLOW(1, 1),
        DISCOVERY(1, 2),
        LOAD(1, 1),
        COUNT(0, 0),
        AGREE(2, 2),
        PARTS_AGREE(2, 2),
        NOBODY_FALSELY_DEAD(0, 0),
        SAME_LIFE(1, 1),
        NEW_LIFE(1, 1),
        SERVED(2, 2),
        NO_EFFECT_TWICE(0, 0),
        HINTED(3, 3),
        SHARES(3, 3),
        PROBED(3, 3),
        LIST_CALLS(2, 2),
        REFUSED_SOME(1, 1),
        CACHE_KILL(1, 1),
        CACHE_START(1, 1),
        CACHE_GREY(2, 2),
        CACHE_LISTED(2, 2),
        ZONE_LOAD(2, 2),
        DRAIN(2, 2),
        RESTORE(1, 1),
        ZONE_OUT(3, 3),
        ZONE_HOME(3, 3),
        ZONES_SETTLED(2, 2),
        REVERSALS(2, 2),
        NEAR(2, 2),
        ORIGIN_PEAK(2, 2),
        NONE_FELLED(0, 0),
        ANSWERED_IN_TIME(2, 2),
        COST(2, 2),
        EARLIER(1, 1),
        POWER_LOSS(1, 1),
        START_OVER(2, 2),
        POWER_BACK(0, 0),
        HOLD(1, 1),
        FREE(1, 1),
        SERVING(3, 3),
        CONFIRMED(3, 3),
        RECOVERED(3, 3),
        SERVICE_BACK(3, 3),
        UNTOUCHED(1, 1),
        TOUCHED(3, 3),
        ORIGIN_TURNED_AWAY(2, 2),
        NOTHING_BACK(2, 2),
        DISK_FULL(1, 1),
        DISK_WELL(1, 1),
        DISK_STALLS(1, 1),
        SNAPSHOT_OLDER(2, 2),
        SNAPSHOT_AHEAD(2, 2),
        SNAPSHOT_TORN(1, 1),
        LIST_BACK(1, 1),
        ORIGIN_PLACES(1, 1),
        SAID(2, 2);
        final int least;
        final int most;

        Verb(int least, int most) {
            this.least = least;
            this.most = most;
        }

        /** As a scenario writes it. */
        public String word() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }
    }

    /**
     * Loads, the origin's room and its peak so many times as large; names of all of a kind, and
     * ranges with a step that end with the last of it, reaching as far; all else as it is.
     */
    Step times(int times, int members, int caches) {
        int at =
                verb == Verb.LOAD || verb == Verb.ORIGIN_PLACES
                        ? 0
                        : verb == Verb.ZONE_LOAD || verb == Verb.ORIGIN_PEAK ? 1 : -1;
        List<String> larger = new ArrayList<>();
        for (int i = 0; i < words.size(); i++) {
            larger.add(
                    i == at
                            ? String.valueOf(number(at) * times)
                            : words.get(i)
                                    .replaceAll(
                                            "\\bp1\\.\\.p" + members + "\\b",
                                            "p1..p" + members * times)
                                    .replaceAll(
                                            "\\bc1\\.\\.c" + caches + "\\b",
                                            "c1..c" + caches * times)
                                    .replaceAll(
                                            "\\.\\.p" + members + "/",
                                            "..p" + members * times + "/")
                                    .replaceAll(
                                            "\\.\\.c" + caches + "/",
                                            "..c" + caches * times + "/"));
        }
        return new Step(line, verb, List.copyOf(larger));
    }

    /** Whether it belongs to a loss of power. */
    public boolean isOfPower() {
        return verb.compareTo(Verb.EARLIER) >= 0;
    }

    /** A span such as 5s or 200ms, in milliseconds. */
    public long millis(int word) {
        return ScenarioFile.millis(line, words.get(word));
    }

    /** A part such as 30%, from 0 to 1. */
    public double part(int word) {
        return ScenarioFile.part(line, words.get(word));
    }

    /** Names such as p1,p4..p7, or c1..c10/3 for every third. */
    public List<String> names(int word) {
        return ScenarioFile.names(line, words.get(word));
    }

    /** A word of the step as a number. */
    public int number(int word) {
        return ScenarioFile.number(line, words.get(word));
    }
}

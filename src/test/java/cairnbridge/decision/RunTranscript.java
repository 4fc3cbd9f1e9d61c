package cairnbridge.decision;

import java.util.Locale;

/**
 * The text of a recorded run: one line for each event told and each call made, in words of its own.
 */
final class RunTranscript {
    private final StringBuilder text = new StringBuilder();
    private int events;

    /** A line of plain figures, the same in every locale. */
    static String line(String format, Object... values) {
        return String.format(Locale.ROOT, format, values);
    }

    /** An event that the router is told. */
    void event(long clock, String line) {
        events++;
        text.append('>').append(clock).append(' ').append(line).append('\n');
    }

    /** A call that the router makes on its host. */
    void call(long clock, String line) {
        text.append(clock).append(' ').append(line).append('\n');
    }

    /** How many events the router was told. */
    int events() {
        return events;
    }

    /** All lines, each with its end. */
    String text() {
        return text.toString();
    }
}

package cairnbridge.decision;

import java.util.Locale;

/**
 * The transcript of a recorded run: one line for each event handled and each call made. Its words
 * are independent of the names in the code, so that a renaming does not change it.
 */
final class RunTranscript {
    private final StringBuilder text = new StringBuilder();
    private int eventCount;

    /** Formats a line in the same way in every locale. */
    static String format(String format, Object... values) {
        return String.format(Locale.ROOT, format, values);
    }

    /** Adds an event that the router handles. */
    void addEvent(long clock, String line) {
        eventCount++;
        text.append('>').append(clock).append(' ').append(line).append('\n');
    }

    /** Adds a call that the router makes on its host. */
    void addCall(long clock, String line) {
        text.append(clock).append(' ').append(line).append('\n');
    }

    /** Returns the number of events. */
    int eventCount() {
        return eventCount;
    }

    /** Returns all lines, each with a line terminator. */
    String text() {
        return text.toString();
    }
}

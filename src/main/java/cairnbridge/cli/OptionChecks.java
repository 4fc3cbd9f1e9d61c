package cairnbridge.cli;

import cairnbridge.config.ConfigurationException;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;

/**
 * Checks of option values shared by several commands; each throws a {@link ConfigurationException}
 * for an invalid value.
 */
final class OptionChecks {
    private OptionChecks() {}

    /**
     * Parses the path of a file or folder.
     *
     * @param text the path as given on the command line
     */
    static Path path(String text) {
        try {
            return Path.of(text);
        } catch (InvalidPathException e) {
            throw new ConfigurationException(text, "is not a valid path");
        }
    }

    /** Rejects a count below 1. */
    static void atLeastOne(int count, String option) {
        require(count >= 1, option, "is less than 1");
    }

    /**
     * Rejects an option value unless a condition holds.
     *
     * @param complaint the error text, printed after the option's name
     */
    static void require(boolean condition, String option, String complaint) {
        if (!condition) {
            throw new ConfigurationException(option, complaint);
        }
    }
}

package cairnbridge.cli;

import cairnbridge.config.ConfigurationException;
import java.util.ArrayList;
import java.util.List;

/** Parses numeric option values; the exception for an invalid value names the option. */
final class SizeOption {
    private SizeOption() {}

    /** Parses one integer between least and most, both included. */
    static int one(String option, String text, int least, int most) {
        return (int) within(option, text, least, most);
    }

    /** Parses a comma-separated list of one or more integers, each between least and most. */
    static List<Integer> list(String option, String text, int least, int most) {
        List<Integer> sizes = new ArrayList<>();
        for (String part : text.split(",", -1)) {
            sizes.add(one(option, part, least, most));
        }
        return sizes;
    }

    /** Parses a decimal number between least and most, both included. */
    static double decimal(String option, String text, double least, double most) {
        return within(option, text, least, most);
    }

    /** Parses a random seed, which may be any long value. */
    static long seed(String option, String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new ConfigurationException(option, "'" + text + "' is not a whole number");
        }
    }

    private static long within(String option, String text, int least, int most) {
        long number;
        try {
            number = Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new ConfigurationException(option, "'" + text + "' is not a whole number");
        }
        if (number < least || number > most) {
            throw new ConfigurationException(
                    option, text + " is not from " + least + " to " + most);
        }
        return number;
    }

    private static double within(String option, String text, double least, double most) {
        double number;
        try {
            number = Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw new ConfigurationException(option, "'" + text + "' is not a number");
        }
        if (!(number >= least && number <= most)) {
            throw new ConfigurationException(
                    option, text + " is not from " + least + " to " + most);
        }
        return number;
    }
}

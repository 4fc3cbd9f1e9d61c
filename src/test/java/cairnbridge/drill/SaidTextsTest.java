package cairnbridge.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Guards against a scenario that waits for a log line which no source writes any more: its step can
 * only fail, and nobody sees it until the scenario is played.
 */
class SaidTextsTest {
    private static final Path SCENARIOS = Path.of("drills");
    private static final Path SOURCES = Path.of("src", "main", "java", "cairnbridge");

    /** Packages whose texts are answers to commands or reports, and in no proxy's log. */
    private static final List<String> NOT_LOGGED = List.of("admin", "cli", "drill", "lab");

    private static final Pattern SAID_STEP = Pattern.compile("(?m)^\\s*said\\s+\\S+\\s+(\\S+)");

    /** A comment, which is skipped, or a string literal, whose text is the group. */
    private static final Pattern COMMENT_OR_LITERAL =
            Pattern.compile("(?s)/\\*.*?\\*/|//[^\n]*|\"([^\"\\\\]*+(?:\\\\.[^\"\\\\]*+)*+)\"");

    private static List<Path> files(Path folder, String ending) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            return all.filter(file -> file.toString().endsWith(ending)).sorted().toList();
        }
    }

    private static List<String> literals(String source) {
        List<String> found = new ArrayList<>();
        Matcher matcher = COMMENT_OR_LITERAL.matcher(source);
        while (matcher.find()) {
            if (matcher.group(1) != null) {
                found.add(matcher.group(1));
            }
        }
        return found;
    }

    private static List<String> allLiterals() throws IOException {
        List<String> found = new ArrayList<>();
        for (Path file : files(SOURCES, ".java")) {
            String packageName = SOURCES.relativize(file).getName(0).toString();
            if (!NOT_LOGGED.contains(packageName)) {
                found.addAll(literals(Files.readString(file)));
            }
        }
        return found;
    }

    /** The texts that a scenario waits for; an underscore stands for a space. */
    private static List<String> saidTexts(String scenario) {
        return SAID_STEP
                .matcher(scenario)
                .results()
                .map(result -> result.group(1).replace('_', ' '))
                .toList();
    }

    @Test
    void eachTextThatAScenarioWaitsForIsWrittenBySomeSource() throws IOException {
        List<String> literals = allLiterals();
        List<String> missing = new ArrayList<>();
        int checked = 0;
        for (Path file : files(SCENARIOS, ".drill")) {
            for (String text : saidTexts(Files.readString(file))) {
                checked++;
                if (literals.stream().noneMatch(literal -> literal.contains(text))) {
                    missing.add(file.getFileName() + ": " + text);
                }
            }
        }

        assertEquals(List.of(), missing);
        assertFalse(checked == 0, "no scenario waits for a text");
    }

    @Test
    void aTextThatOnlyACommentHoldsIsNotFound() {
        assertEquals(
                List.of("is written"),
                literals("/* \"in a block\" */ // \"in a line\"\n log(\"is written\");"));
    }
}

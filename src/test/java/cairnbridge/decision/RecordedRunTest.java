package cairnbridge.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import cairnbridge.Fixtures;
import cairnbridge.decision.RecordedSettings.RunSetup;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Compares the router's calls on its host, line by line, with transcripts recorded by an earlier
 * version. A change of names or structure must not change any line.
 *
 * <p>After an intended change of decisions, {@code mvn test -Dtest=RecordedRunTest
 * -Dcairnbridge.fixtures.write=true} rewrites the files. A test run that writes files always fails,
 * so that the new files cannot count as a successful comparison.
 */
class RecordedRunTest {
    private static final String RESOURCE_FOLDER = "router/";
    private static final String DIGESTS = RESOURCE_FOLDER + "SHA256SUMS";
    private static final int CONTEXT_LINES = 12;

    /**
     * The minimum number of matches in all runs together, and the pattern, of each kind of line.
     */
    private static final List<String> MIN_MATCHES =
            List.of(
                    "2000 ^>\\d+ arrive ",
                    "100 arrive .* repeat",
                    "100 arrive .* write$",
                    "100 arrive .* key=-1 ",
                    "50 ^>\\d+ end .* how=answered",
                    "30 ^>\\d+ end .* how=error",
                    "30 ^>\\d+ end .* how=full",
                    "30 ^>\\d+ end .* how=timed-out",
                    "30 ^>\\d+ end .* how=no-connection",
                    "30 ^>\\d+ end .* how=broken",
                    "30 ^>\\d+ end .* how=called-off",
                    "30 ^>\\d+ end .* how=never-sent",
                    "30 ^>\\d+ end .* how=miss",
                    "30 ^>\\d+ stream ",
                    "30 ^>\\d+ drop ",
                    "1000 ^>\\d+ fired ",
                    "30 ^>\\d+ probed ",
                    "30 ^>\\d+ peer ",
                    "10 ^>\\d+ list cached",
                    "10 ^>\\d+ list full",
                    "30 ^>\\d+ list changes",
                    "20 ^>\\d+ list failed",
                    "20 ^>\\d+ list \\w+ nodes=0",
                    "30 :gone:",
                    "30 :draining:",
                    "20 ^>\\d+ hold .* on$",
                    "20 ^>\\d+ hold .* off$",
                    "30 ^>\\d+ proxies ",
                    "30 ^>\\d+ doubt ",
                    "10 ^>\\d+ place anywhere",
                    "10 ^>\\d+ place nowhere",
                    "10 ^>\\d+ place zone",
                    "3 ^>\\d+ stop ",
                    "3 ^>\\d+ restart$",
                    "20 report=.*NaN",
                    "20 report=.*Infinity",
                    "1500 ^\\d+ send ",
                    "100 ^\\d+ send .* attempt=[1-9]",
                    "30 ^\\d+ send .* second$",
                    "100 ^\\d+ send .* node=90",
                    "30 ^\\d+ cancel ",
                    "100 ^\\d+ nack ",
                    "30 ^\\d+ dead ",
                    "30 ^\\d+ avoids [1-9]",
                    "10 ^\\d+ subscribe on",
                    "30 ^\\d+ learnt node=");

    static List<RunSetup> setups() {
        return RecordedSettings.all();
    }

    @ParameterizedTest
    @MethodSource("setups")
    void aRunMatchesItsRecordedTranscript(RunSetup setup) throws IOException {
        String text = RouterWorkload.run(setup).text();
        if (Boolean.getBoolean("cairnbridge.fixtures.write")) {
            writeFixtures();
            fail("files written, nothing compared: run again without cairnbridge.fixtures.write");
        }
        String expected = Fixtures.text(RESOURCE_FOLDER + setup.name() + ".txt");
        String digest = digestOf(setup.name());
        assertEquals(
                digest, sha256(expected), "the fixture file does not match its recorded digest");
        if (!digest.equals(sha256(text))) {
            fail(firstDifference(setup.name(), expected, text));
        }
    }

    @ParameterizedTest
    @MethodSource("setups")
    void aRepeatedRunGivesTheSameTranscript(RunSetup setup) {
        assertEquals(RouterWorkload.run(setup).text(), RouterWorkload.run(setup).text());
    }

    @Test
    void theRunsContainEveryKindOfEventAndCall() {
        StringBuilder all = new StringBuilder();
        int events = 0;
        for (RunSetup setup : setups()) {
            RunTranscript transcript = RouterWorkload.run(setup);
            events += transcript.eventCount();
            all.append(transcript.text());
        }
        assertTrue(events > 9_000, "events: " + events);
        List<String> tooFew = new ArrayList<>();
        for (String line : MIN_MATCHES) {
            int split = line.indexOf(' ');
            int minCount = Integer.parseInt(line.substring(0, split));
            long count = countMatches(line.substring(split + 1), all);
            if (count < minCount) {
                tooFew.add(count + " of " + line);
            }
        }
        assertEquals(List.of(), tooFew);
    }

    @ParameterizedTest
    @MethodSource("setups")
    void aRunContainsRequestsOfEveryCategory(RunSetup setup) {
        String text = RouterWorkload.run(setup).text();
        for (int category = 0; category < setup.categories(); category++) {
            long count = countMatches("^>\\d+ arrive .* category=" + category + " ", text);
            assertTrue(count > 100, "category " + category + ": " + count);
        }
    }

    private static long countMatches(String pattern, CharSequence text) {
        return Pattern.compile(pattern, Pattern.MULTILINE).matcher(text).results().count();
    }

    private static String digestOf(String name) throws IOException {
        return Fixtures.text(DIGESTS)
                .lines()
                .filter(line -> line.endsWith("  " + name + ".txt"))
                .map(line -> line.substring(0, 64))
                .findFirst()
                .orElseThrow(() -> new IOException("no digest of " + name));
    }

    private static void writeFixtures() throws IOException {
        Path folder =
                Files.createDirectories(Path.of("src/test/resources/fixtures/" + RESOURCE_FOLDER));
        StringBuilder digests = new StringBuilder();
        for (RunSetup setup : setups()) {
            String text = RouterWorkload.run(setup).text();
            Files.writeString(folder.resolve(setup.name() + ".txt"), text);
            digests.append(sha256(text)).append("  ").append(setup.name()).append(".txt\n");
        }
        Files.writeString(folder.resolve("SHA256SUMS"), digests);
    }

    /** Describes the first line that differs, preceded by the matching lines before it. */
    private static String firstDifference(String name, String expected, String actual) {
        List<String> expectedLines = expected.lines().toList();
        List<String> actualLines = actual.lines().toList();
        int index = 0;
        while (index < Math.min(expectedLines.size(), actualLines.size())
                && expectedLines.get(index).equals(actualLines.get(index))) {
            index++;
        }
        StringBuilder message =
                new StringBuilder("run " + name + " differs first in line " + (index + 1) + ":\n");
        for (String line : expectedLines.subList(Math.max(0, index - CONTEXT_LINES), index)) {
            message.append("    ").append(line).append('\n');
        }
        message.append("was ")
                .append(index < expectedLines.size() ? expectedLines.get(index) : "the end")
                .append('\n');
        message.append("is  ")
                .append(index < actualLines.size() ? actualLines.get(index) : "the end")
                .append('\n');
        return message.toString();
    }

    private static String sha256(String text) {
        try {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}

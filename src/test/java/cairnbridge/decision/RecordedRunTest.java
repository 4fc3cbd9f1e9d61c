package cairnbridge.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import cairnbridge.Fixtures;
import cairnbridge.decision.RecordedSettings.Shape;
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
 * What the router asks of its host, call by call, in runs that an earlier version has written. A
 * change of names or of structure must leave every line as it is.
 *
 * <p>Where a change of decisions is meant, {@code mvn test -Dtest=RecordedRunTest
 * -Dcairnbridge.fixtures.write=true} writes the files anew. Such a test never passes, so that no
 * check can take what it wrote for what it compared.
 */
class RecordedRunTest {
    private static final String FOLDER = "router/";
    private static final String DIGESTS = FOLDER + "SHA256SUMS";
    private static final int CONTEXT = 12;

    /** The least number of lines in all runs, and what they hold. */
    private static final List<String> EXPECTED =
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

    static List<Shape> shapes() {
        return RecordedSettings.all();
    }

    @ParameterizedTest
    @MethodSource("shapes")
    void theRunIsAsItWasWritten(Shape shape) throws IOException {
        String text = RouterWorkload.run(shape).text();
        if (Boolean.getBoolean("cairnbridge.fixtures.write")) {
            writeAll();
            fail("files written, nothing compared: run again without cairnbridge.fixtures.write");
        }
        String expected = Fixtures.text(FOLDER + shape.name() + ".txt");
        String digest = digestOf(shape.name());
        assertEquals(digest, sha256(expected), "the file is not the one whose digest is kept");
        if (!digest.equals(sha256(text))) {
            fail(firstDifference(shape.name(), expected, text));
        }
    }

    @ParameterizedTest
    @MethodSource("shapes")
    void theSameRunTwiceGivesTheSameLines(Shape shape) {
        assertEquals(RouterWorkload.run(shape).text(), RouterWorkload.run(shape).text());
    }

    @Test
    void theRunsMeetEveryKindOfEventAndCall() {
        StringBuilder all = new StringBuilder();
        int events = 0;
        for (Shape shape : shapes()) {
            RunTranscript transcript = RouterWorkload.run(shape);
            events += transcript.events();
            all.append(transcript.text());
        }
        assertTrue(events > 9_000, "events: " + events);
        List<String> few = new ArrayList<>();
        for (String line : EXPECTED) {
            int split = line.indexOf(' ');
            int least = Integer.parseInt(line.substring(0, split));
            long count = count(line.substring(split + 1), all);
            if (count < least) {
                few.add(count + " of " + line);
            }
        }
        assertEquals(List.of(), few);
    }

    @ParameterizedTest
    @MethodSource("shapes")
    void theRunMeetsEveryCategoryWithItsEffectAndGroup(Shape shape) {
        String text = RouterWorkload.run(shape).text();
        for (int category = 0; category < shape.categories(); category++) {
            long count = count("^>\\d+ arrive .* category=" + category + " ", text);
            assertTrue(count > 100, "category " + category + ": " + count);
        }
    }

    private static long count(String pattern, CharSequence text) {
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

    private static void writeAll() throws IOException {
        Path folder = Files.createDirectories(Path.of("src/test/resources/fixtures/" + FOLDER));
        StringBuilder digests = new StringBuilder();
        for (Shape shape : shapes()) {
            String text = RouterWorkload.run(shape).text();
            Files.writeString(folder.resolve(shape.name() + ".txt"), text);
            digests.append(sha256(text)).append("  ").append(shape.name()).append(".txt\n");
        }
        Files.writeString(folder.resolve("SHA256SUMS"), digests);
    }

    /** The first line that is not as expected, after some that are. */
    private static String firstDifference(String name, String expected, String actual) {
        List<String> old = expected.lines().toList();
        List<String> now = actual.lines().toList();
        int at = 0;
        while (at < Math.min(old.size(), now.size()) && old.get(at).equals(now.get(at))) {
            at++;
        }
        StringBuilder message =
                new StringBuilder("run " + name + " differs first in line " + (at + 1) + ":\n");
        for (String line : old.subList(Math.max(0, at - CONTEXT), at)) {
            message.append("    ").append(line).append('\n');
        }
        message.append("was ").append(at < old.size() ? old.get(at) : "the end").append('\n');
        message.append("is  ").append(at < now.size() ? now.get(at) : "the end").append('\n');
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

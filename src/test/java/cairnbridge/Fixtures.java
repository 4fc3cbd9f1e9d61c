package cairnbridge;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads the files under {@code fixtures}, which were written by an earlier version of cairnbridge.
 */
public final class Fixtures {
    private Fixtures() {}

    /** Reads a fixture as bytes; the name is its path below {@code fixtures}. */
    public static byte[] bytes(String name) throws IOException {
        try (InputStream in = Fixtures.class.getResourceAsStream("/fixtures/" + name)) {
            if (in == null) {
                throw new IOException("no such fixture: " + name);
            }
            return in.readAllBytes();
        }
    }

    /** Reads a fixture as UTF-8 text. */
    public static String text(String name) throws IOException {
        return new String(bytes(name), StandardCharsets.UTF_8);
    }

    /** Copies the named fixtures from a fixture folder to a folder of the test. */
    public static void copy(String fixtureFolder, Path target, String... names) throws IOException {
        for (String name : names) {
            Files.write(target.resolve(name), bytes(fixtureFolder + "/" + name));
        }
    }
}

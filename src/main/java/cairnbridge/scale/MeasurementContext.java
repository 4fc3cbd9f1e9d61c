package cairnbridge.scale;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * Where and on which version a figure was measured; written into each measurement.
 *
 * @param commit the version of the program, with a plus sign where the tree has changes; "unknown"
 *     outside a checkout
 * @param machine processors, memory and virtual machine
 */
public record MeasurementContext(String commit, String machine) {
    private static final String UNKNOWN = "unknown";
    private static final long GIT_SECONDS = 5;

    /** Of this checkout and this machine. */
    public static MeasurementContext here() {
        return new MeasurementContext(commitOfCheckout(), describeMachine());
    }

    private static String describeMachine() {
        Runtime runtime = Runtime.getRuntime();
        return runtime.availableProcessors()
                + " processors, heap of at most "
                + runtime.maxMemory() / (1 << 20)
                + " MiB, Java "
                + System.getProperty("java.version")
                + ", "
                + System.getProperty("os.name")
                + " "
                + System.getProperty("os.arch");
    }

    private static String commitOfCheckout() {
        String commit = outputOf("git", "rev-parse", "--short", "HEAD");
        if (commit.isEmpty()) {
            return UNKNOWN;
        }
        boolean changed = !outputOf("git", "status", "--porcelain", "--", "src").isEmpty();
        return changed ? commit + "+" : commit;
    }

    private static String outputOf(String... command) {
        try {
            Process process =
                    new ProcessBuilder(command)
                            .redirectError(ProcessBuilder.Redirect.DISCARD)
                            .start();
            byte[] output = process.getInputStream().readAllBytes();
            boolean ended = process.waitFor(GIT_SECONDS, TimeUnit.SECONDS);
            return ended && process.exitValue() == 0
                    ? new String(output, StandardCharsets.UTF_8).strip()
                    : "";
        } catch (IOException e) {
            return "";
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "";
        }
    }
}

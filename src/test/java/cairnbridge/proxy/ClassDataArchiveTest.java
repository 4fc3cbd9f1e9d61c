package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The log line of a start that cannot use the class data sharing archive named in its options. */
class ClassDataArchiveTest {
    private static final long JAR_MILLIS = 1_700_000_000_000L;

    @TempDir Path folder;

    private File file(String name, long modifiedMillis) throws IOException {
        File file = Files.createFile(folder.resolve(name)).toFile();
        assertTrue(file.setLastModified(modifiedMillis));
        return file;
    }

    @Test
    void anArchiveNoOlderThanTheJarIsInUse() throws IOException {
        File jar = file("p.jar", JAR_MILLIS + 900);
        File sameSecond = file("same.jsa", JAR_MILLIS);
        File younger = file("younger.jsa", JAR_MILLIS + 2000);

        assertEquals(Optional.empty(), ClassDataArchive.unusedReason(sameSecond, jar, true));
        assertEquals(Optional.empty(), ClassDataArchive.unusedReason(younger, jar, true));
    }

    @Test
    void anOutdatedMissingOrRejectedArchiveIsNotInUse() throws IOException {
        File jar = file("p.jar", JAR_MILLIS);
        File older = file("older.jsa", JAR_MILLIS - 1000);
        File younger = file("younger.jsa", JAR_MILLIS + 2000);
        File missing = folder.resolve("missing.jsa").toFile();

        assertEquals(
                Optional.of("it is older than " + jar),
                ClassDataArchive.unusedReason(older, jar, true));
        assertEquals(
                Optional.of("there is no such file"),
                ClassDataArchive.unusedReason(missing, jar, false));
        assertEquals(
                Optional.of("the virtual machine does not accept it"),
                ClassDataArchive.unusedReason(younger, jar, false));
    }

    @Test
    void theLastArchiveNamedInTheOptionsIsUsed() {
        assertEquals(Optional.empty(), ClassDataArchive.namedArchive(List.of("-Xmx32m")));
        assertEquals(
                Optional.of(new File("b.jsa")),
                ClassDataArchive.namedArchive(
                        List.of("-XX:SharedArchiveFile=a.jsa", "-XX:SharedArchiveFile=b.jsa")));
        assertEquals(
                Optional.of(new File("top.jsa")),
                ClassDataArchive.namedArchive(
                        List.of(
                                "-XX:SharedArchiveFile=base.jsa"
                                        + File.pathSeparator
                                        + "top.jsa")));
    }

    @Test
    void serveLogsAMissingArchiveAndNothingWhenNoneIsRequested() throws Exception {
        String missing = folder.resolve("missing.jsa").toString();

        assertTrue(
                runServe("-XX:SharedArchiveFile=" + missing)
                        .contains(
                                " INFO class data sharing archive "
                                        + missing
                                        + " is not in use, the start is slower: there is no such"
                                        + " file\n"));
        assertFalse(runServe("-Xmx32m").contains("class data"));
    }

    /**
     * Runs {@code serve}, which exits at once because no configuration is set, and returns its log.
     */
    private static String runServe(String option) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of(option, "-Xlog:cds=off", "-Xlog:cds+dynamic=off", "-cp"));
        command.add(System.getProperty("java.class.path"));
        command.addAll(List.of("cairnbridge.cli.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().remove("LB_CONFIG");
        Process process = builder.start();
        String log = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(2, process.waitFor(), "no configuration is set");
        return log;
    }
}

package cairnbridge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The script that judges CI's test reports, on reports made here. */
@Timeout(60)
class CheckTestsScriptTest {
    private static final String ENTRY = "a.LeaseTest.expires | mvn test, seed 7 | late | issue 4\n";

    @TempDir Path project;

    /** What the script printed, and its exit status. */
    private record Verdict(int status, String output) {}

    @BeforeEach
    void copyScript() throws IOException {
        Files.createDirectories(project.resolve(".ci"));
        Files.createDirectories(project.resolve("target/surefire-reports"));
        Files.createDirectories(project.resolve("target/test-classes/a"));
        Files.copy(Path.of(".ci/check-tests"), project.resolve(".ci/check-tests"));
        Files.createFile(project.resolve("target/test-classes/a/LeaseTest.class"));
    }

    private static String passed(String name) {
        return "  <testcase name=\"" + name + "\" classname=\"a.LeaseTest\" time=\"0.1\"/>\n";
    }

    private static String notPassed(String name, String element) {
        return "  <testcase name=\""
                + name
                + "\" classname=\"a.LeaseTest\" time=\"0.1\">\n    <"
                + element
                + " type=\"T\">text</"
                + element
                + ">\n  </testcase>\n";
    }

    private void report(String testCases) throws IOException {
        Files.writeString(
                project.resolve("target/surefire-reports/TEST-a.LeaseTest.xml"),
                "<testsuite name=\"a.LeaseTest\">\n" + testCases + "</testsuite>\n");
    }

    private void listKnownRed(String text) throws IOException {
        Files.writeString(project.resolve("KNOWN-RED.txt"), text);
    }

    private Verdict check() throws Exception {
        Process script =
                new ProcessBuilder("bash", project.resolve(".ci/check-tests").toString())
                        .redirectErrorStream(true)
                        .start();
        String output = new String(script.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return new Verdict(script.waitFor(), output);
    }

    @Test
    void testsThatPassPass() throws Exception {
        report(passed("expires") + passed("renews"));

        assertEquals(new Verdict(0, ""), check());
    }

    @Test
    void aListedTestMayFailAndIsPrinted() throws Exception {
        report(notPassed("expires(int)[1]", "failure") + passed("renews"));
        listKnownRed(ENTRY);

        assertEquals(new Verdict(0, "known red, failed: " + ENTRY), check());
    }

    @Test
    void theListIsPrintedWhereItsTestsPassed() throws Exception {
        report(passed("expires"));
        listKnownRed(ENTRY);

        assertEquals(new Verdict(0, "known red, passed: " + ENTRY), check());
    }

    @Test
    void aTestThatIsNotListedFails() throws Exception {
        report(passed("expires") + notPassed("renews", "error"));
        listKnownRed(ENTRY);

        assertEquals(
                new Verdict(1, "known red, passed: " + ENTRY + "failed: a.LeaseTest.renews\n"),
                check());
    }

    /** Guards against an entry that covers every test whose name it begins or ends with. */
    @Test
    void anEntryCoversItsWholeNameOnly() throws Exception {
        report(passed("expires") + notPassed("expiresTwice", "failure"));
        listKnownRed(ENTRY);

        Verdict verdict = check();

        assertEquals(1, verdict.status());
        assertEquals(
                "known red, passed: " + ENTRY + "failed: a.LeaseTest.expiresTwice\n",
                verdict.output());
    }

    @Test
    void anErrorInAClassesSetUpFails() throws Exception {
        report(notPassed("", "error"));

        assertEquals(new Verdict(1, "failed: a.LeaseTest.\n"), check());
    }

    @Test
    void aMissingReportFails() throws Exception {
        report(passed("expires"));
        Files.createFile(project.resolve("target/test-classes/a/QuorumTest.class"));

        assertEquals(new Verdict(1, "no report of a.QuorumTest\n"), check());
    }

    @Test
    void noTestAtAllFails() throws Exception {
        assertEquals(new Verdict(1, "no test ran\n"), check());

        report("");

        assertEquals(new Verdict(1, "no test ran\n"), check());
    }

    @Test
    void anEntryThatLacksAPartFails() throws Exception {
        report(passed("expires"));
        String entry = "a.LeaseTest.expires | mvn test, seed 7 | issue 4";
        listKnownRed(entry + "\n");

        assertEquals(new Verdict(1, "KNOWN-RED.txt: not four parts: " + entry + "\n"), check());
    }

    @Test
    void anEntryOfNoTestFails() throws Exception {
        report(passed("renews"));
        listKnownRed(ENTRY);

        assertEquals(
                new Verdict(
                        1,
                        "KNOWN-RED.txt: no such test: a.LeaseTest.expires\nknown red, passed: "
                                + ENTRY),
                check());
    }

    @Test
    void twoEntriesOfOneTestFail() throws Exception {
        report(passed("expires"));
        listKnownRed(ENTRY + ENTRY);

        assertEquals(
                new Verdict(
                        1,
                        "known red, passed: "
                                + ENTRY
                                + "KNOWN-RED.txt: twice: a.LeaseTest.expires\nknown red, passed: "
                                + ENTRY),
                check());
    }
}

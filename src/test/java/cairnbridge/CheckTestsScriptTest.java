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

/** Runs .ci/check-tests, which evaluates the Surefire reports in CI, on generated reports. */
@Timeout(60)
class CheckTestsScriptTest {
    private static final String ENTRY = "a.LeaseTest.expires | mvn test, seed 7 | late | issue 4\n";

    @TempDir Path project;

    /** The exit status of the script and its output. */
    private record ScriptResult(int status, String output) {}

    @BeforeEach
    void copyScript() throws IOException {
        Files.createDirectories(project.resolve(".ci"));
        Files.createDirectories(project.resolve("target/surefire-reports"));
        Files.createDirectories(project.resolve("target/test-classes/a"));
        Files.copy(Path.of(".ci/check-tests"), project.resolve(".ci/check-tests"));
        Files.createFile(project.resolve("target/test-classes/a/LeaseTest.class"));
    }

    private static String passedTestCase(String name) {
        return "  <testcase name=\"" + name + "\" classname=\"a.LeaseTest\" time=\"0.1\"/>\n";
    }

    private static String failedTestCase(String name, String element) {
        return "  <testcase name=\""
                + name
                + "\" classname=\"a.LeaseTest\" time=\"0.1\">\n    <"
                + element
                + " type=\"T\">text</"
                + element
                + ">\n  </testcase>\n";
    }

    private void writeReport(String testCases) throws IOException {
        Files.writeString(
                project.resolve("target/surefire-reports/TEST-a.LeaseTest.xml"),
                "<testsuite name=\"a.LeaseTest\">\n" + testCases + "</testsuite>\n");
    }

    private void writeKnownRedList(String text) throws IOException {
        Files.writeString(project.resolve("KNOWN-RED.txt"), text);
    }

    private ScriptResult runScript() throws Exception {
        Process script =
                new ProcessBuilder("bash", project.resolve(".ci/check-tests").toString())
                        .redirectErrorStream(true)
                        .start();
        String output = new String(script.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return new ScriptResult(script.waitFor(), output);
    }

    @Test
    void passingTestsAreAccepted() throws Exception {
        writeReport(passedTestCase("expires") + passedTestCase("renews"));

        assertEquals(new ScriptResult(0, ""), runScript());
    }

    @Test
    void aFailingListedTestIsAcceptedAndPrinted() throws Exception {
        writeReport(failedTestCase("expires(int)[1]", "failure") + passedTestCase("renews"));
        writeKnownRedList(ENTRY);

        assertEquals(new ScriptResult(0, "known red, failed: " + ENTRY), runScript());
    }

    @Test
    void aPassingListedTestIsPrinted() throws Exception {
        writeReport(passedTestCase("expires"));
        writeKnownRedList(ENTRY);

        assertEquals(new ScriptResult(0, "known red, passed: " + ENTRY), runScript());
    }

    @Test
    void aFailingUnlistedTestIsRejected() throws Exception {
        writeReport(passedTestCase("expires") + failedTestCase("renews", "error"));
        writeKnownRedList(ENTRY);

        assertEquals(
                new ScriptResult(1, "known red, passed: " + ENTRY + "failed: a.LeaseTest.renews\n"),
                runScript());
    }

    /** Guards against an entry that also matches tests whose names merely contain its name. */
    @Test
    void anEntryMatchesTheFullTestNameOnly() throws Exception {
        writeReport(passedTestCase("expires") + failedTestCase("expiresTwice", "failure"));
        writeKnownRedList(ENTRY);

        ScriptResult result = runScript();

        assertEquals(1, result.status());
        assertEquals(
                "known red, passed: " + ENTRY + "failed: a.LeaseTest.expiresTwice\n",
                result.output());
    }

    @Test
    void anErrorInTheSetUpOfAClassIsRejected() throws Exception {
        writeReport(failedTestCase("", "error"));

        assertEquals(new ScriptResult(1, "failed: a.LeaseTest.\n"), runScript());
    }

    @Test
    void aMissingReportIsRejected() throws Exception {
        writeReport(passedTestCase("expires"));
        Files.createFile(project.resolve("target/test-classes/a/QuorumTest.class"));

        assertEquals(new ScriptResult(1, "no report of a.QuorumTest\n"), runScript());
    }

    @Test
    void aRunWithoutTestsIsRejected() throws Exception {
        assertEquals(new ScriptResult(1, "no test ran\n"), runScript());

        writeReport("");

        assertEquals(new ScriptResult(1, "no test ran\n"), runScript());
    }

    @Test
    void anEntryWithAMissingPartIsRejected() throws Exception {
        writeReport(passedTestCase("expires"));
        String entry = "a.LeaseTest.expires | mvn test, seed 7 | issue 4";
        writeKnownRedList(entry + "\n");

        assertEquals(
                new ScriptResult(1, "KNOWN-RED.txt: not four parts: " + entry + "\n"), runScript());
    }

    @Test
    void anEntryForAnUnknownTestIsRejected() throws Exception {
        writeReport(passedTestCase("renews"));
        writeKnownRedList(ENTRY);

        assertEquals(
                new ScriptResult(
                        1,
                        "KNOWN-RED.txt: no such test: a.LeaseTest.expires\nknown red, passed: "
                                + ENTRY),
                runScript());
    }

    @Test
    void duplicateEntriesAreRejected() throws Exception {
        writeReport(passedTestCase("expires"));
        writeKnownRedList(ENTRY + ENTRY);

        assertEquals(
                new ScriptResult(
                        1,
                        "known red, passed: "
                                + ENTRY
                                + "KNOWN-RED.txt: twice: a.LeaseTest.expires\nknown red, passed: "
                                + ENTRY),
                runScript());
    }
}

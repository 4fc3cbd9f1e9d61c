package cairnbridge.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The adapter's replies to batches and its errors on malformed input. */
class AdapterTest {
    private static final String START =
            "{\"clock-s\":10.0,\"events\":[[\"START\",3,42,{\"categories\":[{\"effect\":"
                    + "\"repeatable\",\"ttl-s\":1}],\"limits\":{\"most-pushes\":2},\"new\":[1]}],"
                    + "[\"POOL\",0,[[0,1,0,1,null,77,0]]],[\"MEMBERSHIP\",3,0,1,0]]}\n";

    private static String run(String input) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new Adapter(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void aRequestIsSentAndAnEmptyBatchGetsAnEmptyReply() throws Exception {
        String request =
                "{\"clock-s\":10.00525,\"events\":[[\"ORDER\",3,2025963407446468,0,0,"
                        + "\"91f03b7c55d20a64\",10.5]]}\n";
        List<String> lines =
                run("{\"clock-s\":9,\"events\":[]}\n" + START + request).lines().toList();
        assertEquals("{\"do\":[]}", lines.get(0));
        assertTrue(lines.get(2).contains("[\"ATTEMPT\",3,2025963407446468,77,"), lines.get(2));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{}",
                "{\"domain\":{\"mode\":\"aside\"}}",
                "{\"registry-mode\":\"subscribe\",\"tenants\":[{}],"
                        + "\"rules\":{\"cold-from\":0,\"warm-up-s\":99}}"
            })
    void unusualSettingsStillProduceAReply(String params) throws Exception {
        String reply =
                run(
                        "{\"clock-s\":1,\"events\":[[\"START\",0,1,"
                                + params
                                + "],[\"POOL\",0,[]],[\"MEMBERSHIP\",0,0,1,0],"
                                + "[\"ORDER\",0,5,0,0,null,1.5,null,null,null,true]]}\n");
        assertTrue(reply.contains("[\"PUSH_BACK\",0,5,"), reply);
        assertEquals(params.contains("subscribe"), reply.contains("[\"TAIL\",0,true]"), reply);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"clock-s\":1,\"events\":[[\"HELLO\",1]]} | unknown message HELLO",
                "{\"clock-s\":1,\"events\":[[\"ORDER\"]]} | proxy-id is missing",
                "{\"clock-s\":1,\"events\":[[\"WAKEUP\",8,1]]} | instance 8 was not started",
                "{\"clock-s\":1} | events is missing",
                "[1] | a batch must be an object",
                "{\"clock-s\":1,\"events\":[ | not valid JSON"
            })
    void malformedInputIsReportedWithLineAndProblem(String line, String problem) {
        MalformedInputException e =
                assertThrows(MalformedInputException.class, () -> run(START + line + "\n"));
        assertTrue(e.getMessage().matches("(?s)line [23]: .*"), e.getMessage());
        assertTrue(e.getMessage().contains(problem), e.getMessage());
        assertEquals(1, e.getMessage().lines().count());
    }
}

package cairnbridge.scale.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The commands and replies of a process with hollow proxies. */
@Timeout(30)
class HollowProcessTest {
    private static List<HollowReply> replies(List<String> lines)
            throws IOException, InterruptedException {
        byte[] input = String.join("\n", lines).getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        new HollowProcess(
                        new ByteArrayInputStream(input),
                        new PrintStream(output, true, StandardCharsets.UTF_8))
                .run();
        List<HollowReply> replies = new ArrayList<>();
        for (String line : output.toString(StandardCharsets.UTF_8).lines().toList()) {
            replies.add(HollowMessages.readReply(line));
        }
        return replies;
    }

    @Test
    void eachCommandHasOneReply() throws IOException, InterruptedException {
        HollowSettings settings = new HollowSettings(4, 0, false, 1);
        List<HollowReply> replies =
                replies(
                        List.of(
                                HollowMessages.write(new HollowCommand.Configure(settings)),
                                HollowMessages.write(
                                        new HollowCommand.StartMembers(List.of(0, 1), List.of())),
                                HollowMessages.write(
                                        new HollowCommand.WatchChange(1, ChangeKind.KILL, 1)),
                                HollowMessages.write(
                                        new HollowCommand.MakeChange(
                                                1, ChangeKind.KILL, 1, List.of())),
                                HollowMessages.write(new HollowCommand.AskKnowledge()),
                                HollowMessages.write(new HollowCommand.AskUsage(true)),
                                HollowMessages.write(new HollowCommand.AskAgreement(1))));
        assertEquals(7, replies.size());
        assertInstanceOf(HollowReply.Done.class, replies.get(0));
        assertEquals(
                2, assertInstanceOf(HollowReply.Started.class, replies.get(1)).endpoints().size());
        assertInstanceOf(HollowReply.Done.class, replies.get(2));
        assertInstanceOf(HollowReply.ChangeMade.class, replies.get(3));
        assertInstanceOf(HollowReply.Knowledge.class, replies.get(4));
        assertInstanceOf(HollowReply.Usage.class, replies.get(5));
        assertEquals(1, assertInstanceOf(HollowReply.Agreement.class, replies.get(6)).running());
    }

    @Test
    void whatCannotBeCarriedOutIsAnsweredAsFailed() throws IOException, InterruptedException {
        List<HollowReply> replies =
                replies(
                        List.of(
                                "no command",
                                HollowMessages.write(new HollowCommand.AskAgreement(1))));
        assertInstanceOf(HollowReply.Failed.class, replies.get(0));
        assertInstanceOf(HollowReply.Failed.class, replies.get(1));
    }
}

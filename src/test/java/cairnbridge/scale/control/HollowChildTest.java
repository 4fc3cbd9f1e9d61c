package cairnbridge.scale.control;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A child process that does not live. */
@Timeout(30)
class HollowChildTest {
    /** No virtual machine starts with so little. */
    private static final long TOO_SMALL_HEAP = 1 << 20;

    @Test
    void aProcessThatHasEndedIsNotWaitedFor() throws IOException {
        try (HollowChild child = new HollowChild(TOO_SMALL_HEAP)) {
            for (int i = 0; i < 3; i++) {
                assertThrows(
                        IOException.class,
                        () ->
                                child.ask(
                                        new HollowCommand.AskUsage(false),
                                        HollowReply.Usage.class));
            }
        }
    }
}

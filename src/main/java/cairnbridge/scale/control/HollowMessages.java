package cairnbridge.scale.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Commands and replies as JSON lines. */
final class HollowMessages {
    private static final ObjectMapper JSON = new ObjectMapper();

    private HollowMessages() {}

    static String write(HollowCommand command) throws JsonProcessingException {
        return JSON.writerFor(HollowCommand.class).writeValueAsString(command);
    }

    static String write(HollowReply reply) throws JsonProcessingException {
        return JSON.writerFor(HollowReply.class).writeValueAsString(reply);
    }

    static HollowCommand readCommand(String line) throws JsonProcessingException {
        return JSON.readValue(line, HollowCommand.class);
    }

    static HollowReply readReply(String line) throws JsonProcessingException {
        return JSON.readValue(line, HollowReply.class);
    }
}

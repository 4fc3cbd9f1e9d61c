package cairnbridge.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;

/** Parses TOML files and reports syntax errors with their line number. */
public final class TomlFile {
    private TomlFile() {}

    /**
     * Parses the content of a file.
     *
     * @param name the name of the file in error messages
     * @throws ConfigurationException if the text is not valid TOML; the message contains the line
     *     number
     */
    public static JsonNode parse(String text, String name) {
        try {
            return new TomlMapper().readTree(text);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            String problem = e.getOriginalMessage().lines().findFirst().orElse("");
            throw new ConfigurationException(
                    name, "line " + line + " is not valid TOML: " + problem);
        }
    }
}

package cairnbridge.config;

/** Thrown for an invalid configuration. The message begins with the faulty key. */
public final class ConfigurationException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception about one key.
     *
     * @param problem the fault, worded as the predicate of a sentence whose subject is the key
     */
    public ConfigurationException(String key, String problem) {
        super(key + ": " + problem);
    }
}

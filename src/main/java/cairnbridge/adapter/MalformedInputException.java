package cairnbridge.adapter;

/** Input that violates the adapter protocol. The message contains the line and the problem. */
public final class MalformedInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception for a problem in a line of the input; the first line is 1. */
    public MalformedInputException(long line, String problem) {
        super("line " + line + ": " + problem);
    }
}

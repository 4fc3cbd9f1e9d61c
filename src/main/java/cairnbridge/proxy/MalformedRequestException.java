package cairnbridge.proxy;

/**
 * A request head lacks what the proxy needs, or has it malformed. The message is the body of the
 * answer 400. It has no stack trace, as strangers may cause many of them.
 */
final class MalformedRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedRequestException(String message) {
        super(message, null, false, false);
    }
}

package cairnbridge.proxy;

/**
 * Thrown if a part of a request head that the proxy needs is missing or malformed. The message is
 * the body of the 400 response. No stack trace is recorded, because untrusted clients can trigger
 * many of these exceptions.
 */
final class MalformedRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedRequestException(String message) {
        super(message, null, false, false);
    }
}

package cairnbridge.propagation;

/**
 * Thrown by a publish call on a publisher that is fenced or behind; see {@link Publisher.State}.
 */
public final class NotActiveException extends RuntimeException {
    private static final long serialVersionUID = 1;

    NotActiveException(String message) {
        super(message);
    }
}

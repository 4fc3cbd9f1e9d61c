package cairnbridge.admin;

/** An operator's change is in force but was not persisted: a power loss would undo it. */
public final class NotPersistedException extends RuntimeException {
    private static final long serialVersionUID = 1L;
}

package cairnbridge.propagation;

import java.util.Optional;

/** The output side of a {@link Subscriber}: sends messages and applies changes. */
public interface SubscriberHost extends PropagationHost {
    /**
     * Puts a change in force or rejects it. Called at most once for each change, in order of
     * position.
     *
     * @return empty if the change is in force now; otherwise the reason for rejecting it, in which
     *     case the previous change must still be in force
     */
    Optional<String> apply(Change change);
}

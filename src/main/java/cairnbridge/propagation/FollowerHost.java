package cairnbridge.propagation;

import java.util.Optional;

/** What a {@link Follower} asks to be done. */
public interface FollowerHost extends PropagationHost {
    /**
     * Puts a change in force, or turns it down. Called once for each change at most, in order.
     *
     * @return empty where it is in force now; else why it was turned down, and what was in force
     *     before must then still be
     */
    Optional<String> apply(Change change);
}

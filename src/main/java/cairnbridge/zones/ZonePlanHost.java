package cairnbridge.zones;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.zones.consensus.AcceptorState;
import cairnbridge.zones.plan.ListedNode;
import cairnbridge.zones.plan.Plan;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The effects that {@link ZonePlanCoordinator} needs from its member. All calls and callbacks run
 * on one thread; no method blocks.
 */
public interface ZonePlanHost {
    /**
     * Sends a message to a member; the callback receives the answer, or empty if the call fails.
     */
    void call(MemberId to, String topic, byte[] payload, Consumer<Optional<byte[]>> callback);

    /**
     * Persists a voter's state so that it survives a power loss.
     *
     * @param callback receives the error, or empty once the state is on disk
     */
    void persist(AcceptorState state, Consumer<Optional<String>> callback);

    /** The cache nodes of the endpoint list. */
    List<ListedNode> listedNodes();

    /** Called when a new plan comes into force at this member. */
    void planChanged(Plan plan);

    /** Logs a message for operators. */
    void log(String message);
}

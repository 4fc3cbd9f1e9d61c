package cairnbridge.propagation.simulated;

import cairnbridge.propagation.Position;

/** Follows what happens in a simulated net. */
public interface PropagationObserver {
    /** A member has put a change in force. */
    void onApplied(SimulatedNode member, Position before, Position after);

    /** A publisher has handled a report. */
    void onReported(SimulatedNode publisher);
}

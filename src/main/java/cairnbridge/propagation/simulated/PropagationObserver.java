package cairnbridge.propagation.simulated;

import cairnbridge.propagation.Position;

/** Observes applied changes and handled reports in a simulated network. */
public interface PropagationObserver {
    /** Called after a member has put a change in force. */
    void onApplied(SimulatedNode member, Position before, Position after);

    /** Called after a publisher has handled a report. */
    void onReported(SimulatedNode publisher);
}

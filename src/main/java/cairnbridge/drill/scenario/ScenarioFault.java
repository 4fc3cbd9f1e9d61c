package cairnbridge.drill.scenario;

/** A scenario that cannot be played; the message names the line. */
public final class ScenarioFault extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** A fault in a line of the scenario. */
    public ScenarioFault(int line, String fault) {
        super("line " + line + ": " + fault);
    }
}

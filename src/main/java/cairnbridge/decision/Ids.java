package cairnbridge.decision;

/** The kinds of id that cross the module's interface; each is a type of its own. */
public final class Ids {
    private Ids() {}

    /** A request, by a number of its proxy's own. */
    public record RequestId(long value) {}

    /** A server. */
    public record NodeId(long value) {}

    /** The hash of a request's key. */
    public record KeyId(long value) {}

    /** A class of requests, by its place in the settings. */
    public record CategoryId(int value) {}

    /** A tenant, by its place in the settings; below 0 for none. */
    public record TenantId(int value) {}

    /** A zone. */
    public record ZoneId(int value) {}

    /** A cell: the part of a zone whose servers share their memory of idempotency keys. */
    public record CellId(int value) {}

    /** A kind of machine, by its place in the settings. */
    public record MachineKind(int value) {}

    /** Another proxy. */
    public record PeerId(int value) {}

    /** A timer of the host. */
    public record TimerId(long value) {}
}

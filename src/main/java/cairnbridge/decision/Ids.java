package cairnbridge.decision;

/**
 * The identifiers used in the decision module's interface. Each kind is a separate type, so that
 * they cannot be confused.
 */
public final class Ids {
    private Ids() {}

    /** A request, numbered by its proxy. */
    public record RequestId(long value) {}

    /** A server. */
    public record NodeId(long value) {}

    /** The hash of a request's key. */
    public record KeyId(long value) {}

    /** A class of requests, as an index into the settings' categories. */
    public record CategoryId(int value) {}

    /** A tenant, as an index into the settings' tenants; negative for none. */
    public record TenantId(int value) {}

    /** An availability zone. */
    public record ZoneId(int value) {}

    /** A cell: the servers of a zone that share their record of idempotency keys. */
    public record CellId(int value) {}

    /** A machine kind, by its index in the configuration. */
    public record MachineKind(int value) {}

    /** Another proxy of the fleet. */
    public record PeerId(int value) {}

    /** A timer of the host. */
    public record TimerId(long value) {}
}

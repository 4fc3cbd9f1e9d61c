package cairnbridge.decision;

/** The kinds of id that cross the module's interface; each is a type of its own. */
public final class Ids {
    private Ids() {}

    public record RequestId(long value) {}

    public record NodeId(long value) {}

    public record KeyId(long value) {}

    public record CategoryId(int value) {}

    public record TenantId(int value) {}

    public record ZoneId(int value) {}

    public record CellId(int value) {}

    public record MachineKind(int value) {}

    public record PeerId(int value) {}

    public record TimerId(long value) {}
}

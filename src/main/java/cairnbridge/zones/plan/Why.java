package cairnbridge.zones.plan;

/** Why a zone's traffic is where it is, in one word for the log. */
public enum Why {
    WELL,
    GONE,
    ILL,
    FULL,
    DRAINED,
    BACK,
    PANIC
}

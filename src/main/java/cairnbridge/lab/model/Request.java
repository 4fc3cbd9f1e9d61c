package cairnbridge.lab.model;

/** What a proxy sends to a node; trace is the op's own name, which ties a miss to its fetch. */
public record Request(long trace, long key, boolean write) {}

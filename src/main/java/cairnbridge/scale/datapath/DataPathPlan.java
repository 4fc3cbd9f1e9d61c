package cairnbridge.scale.datapath;

import java.nio.file.Path;
import java.util.List;

/**
 * What is measured.
 *
 * @param requests requests of each point
 * @param bodies bytes of a response's body, for the processor time by size
 * @param connections idle client connections, for the memory of each
 * @param nodes nodes in the list, for the memory and the processor time by nodes
 * @param perSecond the rate of the requests
 * @param ttlMillis how long a client says that it waits for its answer
 * @param warmUp requests before anything is measured
 * @param heldTtlMillis the same for the requests whose memory is weighed once they are answered
 * @param repeats how often all is measured, each time with new processes
 * @param seed of the keys that are asked for
 * @param machineArguments file of the proxy's virtual machine arguments
 */
public record DataPathPlan(
        int requests,
        List<Integer> bodies,
        List<Integer> connections,
        List<Integer> nodes,
        int perSecond,
        int ttlMillis,
        int warmUp,
        int heldTtlMillis,
        int repeats,
        long seed,
        Path machineArguments) {
    /** What each process needs beside its clients and its nodes. */
    private static final int OTHER_DESCRIPTORS = 256;

    /** A node's listener, and a connection from each side, stand in the measuring process. */
    private static final int DESCRIPTORS_A_NODE = 3;

    /** The descriptors that the largest point needs in one process. */
    public int descriptors() {
        int mostConnections = connections.stream().mapToInt(Integer::intValue).max().orElse(0);
        int mostNodes = nodes.stream().mapToInt(Integer::intValue).max().orElse(0);
        return mostConnections + DESCRIPTORS_A_NODE * mostNodes + OTHER_DESCRIPTORS;
    }
}

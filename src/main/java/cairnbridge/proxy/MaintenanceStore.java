package cairnbridge.proxy;

import cairnbridge.decision.Ids.NodeId;
import java.util.concurrent.CompletableFuture;

/** Where it is persisted which nodes are in maintenance; {@link #NONE} persists nothing. */
interface MaintenanceStore {
    /** Persists nothing, and so has nothing that could fail: true at once. */
    MaintenanceStore NONE = (node, inMaintenance) -> CompletableFuture.completedFuture(true);

    /** Persists whether a node is in maintenance: true once a power loss would not undo it. */
    CompletableFuture<Boolean> save(NodeId node, boolean inMaintenance);
}

package cairnbridge.proxy;

import cairnbridge.decision.Ids.NodeId;
import java.util.concurrent.CompletableFuture;

/** Persists which nodes are in maintenance; {@link #NONE} persists nothing. */
interface MaintenanceStore {
    /** Persists nothing and completes with true at once, as there is nothing that can fail. */
    MaintenanceStore NONE = (node, inMaintenance) -> CompletableFuture.completedFuture(true);

    /** Persists whether a node is in maintenance; true once a power loss would not undo that. */
    CompletableFuture<Boolean> save(NodeId node, boolean inMaintenance);
}

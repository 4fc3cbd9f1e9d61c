package cairnbridge.recovery;

import cairnbridge.store.PersistedState;
import java.util.List;

/**
 * The part of a persisted state that a restarted proxy uses.
 *
 * @param nodesInMaintenance the nodes that operators had put into maintenance
 * @param generation the highest persisted generation; that of this run has to be higher
 * @param epochFloor the lowest epoch that a zone plan may have to take effect
 * @param endpointList the list to begin with; {@link PersistedState.EndpointList#NONE} for none
 * @param contacts members to contact after the seeds, with those first that were live
 * @param livePeers how many other members were live
 * @param isNodeTrustUsable whether the measurements of the origin and the cache nodes may be used
 * @param report for operators, a line for each part of the state: whether it is used, its age and
 *     the reason
 */
public record RestoredState(
        List<Long> nodesInMaintenance,
        long generation,
        long epochFloor,
        PersistedState.EndpointList endpointList,
        List<PersistedState.Peer> contacts,
        int livePeers,
        boolean isNodeTrustUsable,
        List<String> report) {
    /** Makes defensive copies of the three lists. */
    public RestoredState {
        nodesInMaintenance = List.copyOf(nodesInMaintenance);
        contacts = List.copyOf(contacts);
        report = List.copyOf(report);
    }
}

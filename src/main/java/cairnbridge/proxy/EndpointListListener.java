package cairnbridge.proxy;

import cairnbridge.decision.Event;
import cairnbridge.decision.Ids.NodeId;
import java.net.InetSocketAddress;
import java.util.Map;

/** Receives endpoint lists; called on the reactor's thread or on the scheduler's thread. */
interface EndpointListListener {
    /** Discovery has sent the endpoint list or changes to it, or could not be reached. */
    void endpointListChanged(
            Event.EndpointListReceived list, Map<NodeId, InetSocketAddress> addresses);

    /** Discovery has sent a list that is older than a known version; it is not used. */
    void staleListReceived(long version);
}

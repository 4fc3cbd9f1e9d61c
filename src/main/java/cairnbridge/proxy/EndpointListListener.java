package cairnbridge.proxy;

import cairnbridge.decision.Event;
import cairnbridge.decision.Ids.NodeId;
import java.net.InetSocketAddress;
import java.util.Map;

/** Hears of endpoint lists; called on the reactor's thread or the watch's timer. */
interface EndpointListListener {
    /** Discovery has sent a list or a part of one, or could not be reached. */
    void endpointListChanged(
            Event.EndpointListReceived list, Map<NodeId, InetSocketAddress> addresses);

    /** Discovery has sent a list that is older than a known one; it is not in use. */
    void staleListReceived(long version);
}

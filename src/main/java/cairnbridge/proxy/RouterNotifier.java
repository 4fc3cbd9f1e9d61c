package cairnbridge.proxy;

import cairnbridge.decision.Event;

/**
 * Passes events to the router. Used only by the coordinator thread, and never from within a call
 * that the router makes to its host.
 */
interface RouterNotifier {
    /** Passes an event to the router, which handles it before this method returns. */
    void notifyRouter(long nowTicks, Event event);
}

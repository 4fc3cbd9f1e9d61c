package cairnbridge.proxy;

import cairnbridge.decision.Event;

/** Passes events to the router; for the owner thread, and never within a call of the router. */
interface RouterNotifier {
    /** Passes an event, which the router handles before this returns. */
    void notifyRouter(long nowTicks, Event event);
}

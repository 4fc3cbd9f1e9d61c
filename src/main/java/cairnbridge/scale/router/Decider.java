package cairnbridge.scale.router;

import cairnbridge.decision.Event;

/** What is driven: a router, or in its place a fixed choice that shows the driver's own cost. */
interface Decider {
    void handle(long clock, Event event);
}

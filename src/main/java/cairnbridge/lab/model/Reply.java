package cairnbridge.lab.model;

import cairnbridge.decision.Event.AttemptOutcome;

/** How a push ended at a node; note as the caches tell it: 1 a hit, 2 a miss, 0 nothing. */
public record Reply(AttemptOutcome ending, int note) {}

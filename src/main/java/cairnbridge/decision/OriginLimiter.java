package cairnbridge.decision;

import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.KeyId;
import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.time.Ticks;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The origin behind the caches: off the ring, with a limit of its own, a short queue, and one fetch
 * a key at a time.
 */
final class OriginLimiter {
    private static final double LATENCY_SAMPLES = 8;

    /** By this part the typical latency falls while nothing is in flight. */
    private static final double IDLE_DECAY = 0.05;

    private final RouterContext context;
    private final boolean isLookAside;
    private final MachineKind machineKind;
    private final double highestPriority;
    private final ConcurrencyLimit limit;
    private final List<Request> queue = new ArrayList<>();
    private final Map<KeyId, CoalescedFetch> fetches = new HashMap<>();
    private List<ServerNode> replicas = List.of();
    private double typicalLatency;
    private int inFlight;

    OriginLimiter(RouterContext context) {
        this.context = context;
        isLookAside = context.settings.origin().isLookAside();
        machineKind = context.settings.origin().machineKind();
        typicalLatency = context.warmStart.originLatency() * context.warmStartWeight();
        highestPriority =
                context.settings.categories().stream()
                        .mapToDouble(Settings.Category::priorityWeight)
                        .max()
                        .orElse(1);
        limit = new ConcurrencyLimit(context);
    }

    /** Whether caches leave it to the proxy to fetch what they lack. */
    boolean isLookAside() {
        return isLookAside;
    }

    ConcurrencyLimit limit() {
        return limit;
    }

    double typicalLatency() {
        return typicalLatency;
    }

    boolean contains(ServerNode node) {
        return isLookAside && node.machineKind().equals(machineKind);
    }

    /** A key being fetched is not asked of a cache meanwhile. */
    boolean isFetching(KeyId key) {
        return key != null && fetches.containsKey(key);
    }

    /** Queues a request for the origin, or has it wait for another's fetch of its key. */
    void fetch(Request request) {
        enqueue(request);
        sendQueued();
    }

    void attemptEnded(Request request, Event.AttemptEnded ended) {
        inFlight--;
        boolean isSuccess = ended.outcome() == AttemptOutcome.SUCCESS;
        boolean isLate = ended.duration() > (request.usefulUntil - request.arrivedAt) / 2;
        boolean isLost = isLate && limit.minimum() < 1;
        // Guards against feeding a slowed origin requests that run out of time there: they count
        // as well.
        if (isSuccess || ended.outcome() == AttemptOutcome.TIMED_OUT || isLost) {
            long gap = context.now() - limit.lastEndAt();
            double weight = MovingAverage.weightAfter(gap, LATENCY_SAMPLES);
            typicalLatency += (ended.duration() - typicalLatency) * weight;
        }
        if (isLost || isConclusive(ended.outcome())) {
            limit.ended(!isSuccess || isLate, inFlight);
        }
        endFetch(request, isSuccess);
        sendQueued();
    }

    private static boolean isConclusive(AttemptOutcome outcome) {
        return outcome != AttemptOutcome.CANCELLED && outcome != AttemptOutcome.NOT_SENT;
    }

    /** Guards against followers held for as long as an answer takes to pass through. */
    void streamingStarted(Request request) {
        endFetch(request, true);
        sendQueued();
    }

    /** The dispatcher has not sent what was taken from the queue. */
    void attemptVetoed(Request request) {
        inFlight--;
        endFetch(request, false);
        sendQueued();
    }

    /** A request that waits needs no answer any more. */
    void cancelled(Request request) {
        if (queue.remove(request)) {
            endFetch(request, false);
        }
        sendQueued();
    }

    void membersChanged() {
        replicas =
                context.registry.nodes().stream()
                        .filter(node -> node.isReady() && contains(node))
                        .toList();
        sendQueued();
    }

    void housekeeping() {
        typicalLatency -= inFlight == 0 ? typicalLatency * IDLE_DECAY : 0;
        limit.housekeeping();
        sendQueued();
    }

    private void enqueue(Request request) {
        if (replicas.isEmpty()) {
            context.loop.post(() -> context.requests.cannotContinue(request, 0));
            return;
        }
        request.waitForOrigin();
        if (!request.isWrite && request.key != null) {
            CoalescedFetch fetch =
                    fetches.computeIfAbsent(request.key, key -> new CoalescedFetch(request));
            if (!fetch.isLedBy(request)) {
                follow(fetch, request);
                return;
            }
        }
        // Guards against a queue of requests that will be too late: who cannot make it is answered
        // at once.
        long ahead =
                queue.stream()
                        .filter(other -> other.priorityWeight() >= request.priorityWeight())
                        .count();
        double wait = typicalLatency * (1 + ahead / Math.max(1, limit.level()));
        double relativePriority = request.priorityWeight() / highestPriority;
        if (timeLeft(request) <= wait || !limit.admits(relativePriority)) {
            giveUp(request);
        } else {
            queue.add(request);
        }
    }

    /**
     * Guards against requests held until their TTL for a fetch that takes longer than they have.
     */
    private void follow(CoalescedFetch fetch, Request request) {
        if (timeLeft(request) <= typicalLatency) {
            giveUp(request);
        } else {
            fetch.follow(request);
        }
    }

    private long timeLeft(Request request) {
        return request.usefulUntil - context.now();
    }

    /** Sends from the queue while the limit allows, highest priority first. */
    private void sendQueued() {
        dropLate();
        double most = Math.max(1, Math.floor(limit.level()));
        while (inFlight < most && !queue.isEmpty() && !replicas.isEmpty()) {
            Request request =
                    Collections.max(queue, Comparator.comparingDouble(Request::priorityWeight));
            queue.remove(request);
            ServerNode node =
                    Collections.min(replicas, Comparator.comparingInt(ServerNode::inFlight));
            inFlight++;
            request.stopWaitingForOrigin();
            context.loop.post(() -> node.accept(request));
        }
    }

    /** Requests that cannot be answered in time any more give up. */
    private void dropLate() {
        for (int i = queue.size() - 1; i >= 0; i--) {
            Request request = queue.get(i);
            if (timeLeft(request) <= typicalLatency) {
                queue.remove(i);
                giveUp(request);
            }
        }
    }

    private void giveUp(Request request) {
        request.stopWaitingForOrigin();
        endFetch(request, false);
        context.loop.post(() -> context.requests.cannotContinue(request, Ticks.SECOND));
    }

    /**
     * The fetch that a request led has ended: followers ask the cache where it landed, or try
     * themselves.
     */
    private void endFetch(Request leader, boolean isSuccess) {
        boolean isShared = !leader.isWrite && leader.key != null;
        CoalescedFetch fetch = isShared ? fetches.get(leader.key) : null;
        if (fetch == null || !fetch.isLedBy(leader)) {
            return;
        }
        fetches.remove(leader.key);
        ServerNode cache = leader.missedAt();
        for (Request follower : fetch.followers()) {
            follower.stopWaitingForOrigin();
            if (follower.isFinished()) {
                continue;
            }
            if (isSuccess) {
                context.loop.post(() -> context.placer.place(follower, cache));
            } else {
                context.loop.post(() -> fetch(follower));
            }
        }
    }
}

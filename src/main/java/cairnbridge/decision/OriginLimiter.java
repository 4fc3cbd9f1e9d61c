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
 * Limits requests to the origin behind the caches. The origin is not on the ring; it has its own
 * concurrency limit, a short queue, and at most one fetch per key at a time.
 */
final class OriginLimiter {
    private static final double LATENCY_SAMPLES = 8;

    /**
     * The share by which the typical latency falls per housekeeping run while nothing is in flight.
     */
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

    /** The attempts at the origin, but for those that go on at the pace of their clients. */
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

    /**
     * Whether the proxy fetches from the origin what a cache lacks, instead of the cache doing so.
     */
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

    /** Whether the key is being fetched. Requests for it skip the caches meanwhile. */
    boolean isFetching(KeyId key) {
        return key != null && fetches.containsKey(key);
    }

    /**
     * Queues a request for the origin, or makes it wait for another request's fetch of the same
     * key.
     */
    void fetch(Request request) {
        enqueue(request);
        sendQueued();
    }

    void attemptEnded(Request request, Event.AttemptEnded ended) {
        inFlight--;
        boolean isSuccess = ended.outcome() == AttemptOutcome.SUCCESS;
        boolean isLate = ended.duration() > (request.usefulUntil - request.arrivedAt) / 2;
        boolean isLateAtOneOfMany = isLate && limit.minimum() < 1;
        // Guards against sending a slow origin requests that will time out there: the durations of
        // timed-out attempts count towards its typical latency as well.
        if (isSuccess || ended.outcome() == AttemptOutcome.TIMED_OUT || isLateAtOneOfMany) {
            long gap = context.now() - limit.lastAttemptEndAt();
            double weight = MovingAverage.weightAfter(gap, LATENCY_SAMPLES);
            typicalLatency += (ended.duration() - typicalLatency) * weight;
        }
        if (isLateAtOneOfMany || reflectsOriginLoad(ended.outcome())) {
            limit.attemptEnded(!isSuccess || isLate, inFlight);
        }
        completeFetch(request, isSuccess);
        sendQueued();
    }

    private static boolean reflectsOriginLoad(AttemptOutcome outcome) {
        return outcome != AttemptOutcome.CANCELLED && outcome != AttemptOutcome.NOT_SENT;
    }

    /**
     * Guards against followers that wait while a long response streams: the fetch counts as
     * complete once its response begins.
     */
    void streamingStarted(Request request) {
        completeFetch(request, true);
        sendQueued();
    }

    /**
     * An attempt goes on at the pace of its client, or waits for the origin again. Guards against
     * slow clients with long bodies and responses that keep all other requests from the origin.
     */
    void paceChanged(boolean isClientPaced) {
        inFlight += isClientPaced ? -1 : 1;
        if (isClientPaced) {
            context.loop.post(this::sendQueued);
        }
    }

    /** The dispatcher's rules did not allow an attempt for a request taken from the queue. */
    void attemptVetoed(Request request) {
        inFlight--;
        completeFetch(request, false);
        sendQueued();
    }

    /** Removes a waiting request that needs no answer any more. */
    void cancelled(Request request) {
        if (queue.remove(request)) {
            completeFetch(request, false);
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
        // Guards against queueing requests that would be answered too late: a request whose
        // estimated wait exceeds its remaining time is answered immediately.
        long queuedAhead =
                queue.stream()
                        .filter(other -> other.priorityWeight() >= request.priorityWeight())
                        .count();
        double wait = typicalLatency * (1 + queuedAhead / Math.max(1, limit.level()));
        double relativePriority = request.priorityWeight() / highestPriority;
        if (timeLeft(request) <= wait || !limit.admits(relativePriority)) {
            abandonFetch(request);
        } else {
            queue.add(request);
        }
    }

    /**
     * Guards against holding a request until its TTL for a fetch that takes longer than the
     * request's remaining time.
     */
    private void follow(CoalescedFetch fetch, Request request) {
        if (timeLeft(request) <= typicalLatency) {
            abandonFetch(request);
        } else {
            fetch.follow(request);
        }
    }

    private long timeLeft(Request request) {
        return request.usefulUntil - context.now();
    }

    /** Sends queued requests while the limit allows, highest priority first. */
    private void sendQueued() {
        abandonLateRequests();
        double maxInFlight = Math.max(1, Math.floor(limit.level()));
        while (inFlight < maxInFlight && !queue.isEmpty() && !replicas.isEmpty()) {
            Request request =
                    Collections.max(queue, Comparator.comparingDouble(Request::priorityWeight));
            queue.remove(request);
            ServerNode node =
                    Collections.min(replicas, Comparator.comparingInt(ServerNode::inFlight));
            inFlight++;
            request.originWaitEnded();
            context.loop.post(() -> node.accept(request));
        }
    }

    /** Abandons queued requests that cannot be answered in time any more. */
    private void abandonLateRequests() {
        for (int i = queue.size() - 1; i >= 0; i--) {
            Request request = queue.get(i);
            if (timeLeft(request) <= typicalLatency) {
                queue.remove(i);
                abandonFetch(request);
            }
        }
    }

    private void abandonFetch(Request request) {
        request.originWaitEnded();
        completeFetch(request, false);
        context.loop.post(() -> context.requests.cannotContinue(request, Ticks.SECOND));
    }

    /**
     * Ends the fetch that a request leads. After a success, its followers are sent to the cache
     * that missed the key first; otherwise each follower fetches by itself.
     */
    private void completeFetch(Request leader, boolean isSuccess) {
        boolean isShared = !leader.isWrite && leader.key != null;
        CoalescedFetch fetch = isShared ? fetches.get(leader.key) : null;
        if (fetch == null || !fetch.isLedBy(leader)) {
            return;
        }
        fetches.remove(leader.key);
        ServerNode cache = leader.firstMissedAt();
        for (Request follower : fetch.followers()) {
            follower.originWaitEnded();
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

package cairnbridge.decision;

import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Event.ListScope;
import cairnbridge.decision.Event.NodeState;
import cairnbridge.decision.Ids.CategoryId;
import cairnbridge.decision.Ids.CellId;
import cairnbridge.decision.Ids.KeyId;
import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.PeerId;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Ids.TenantId;
import cairnbridge.decision.Ids.TimerId;
import cairnbridge.decision.Ids.ZoneId;
import cairnbridge.decision.RecordingHost.SentAttempt;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

/**
 * The router and host of a recorded run. All events of a run are created by this class, from plain
 * values, and written to the transcript.
 */
final class RecordedRouter {
    /** The outcome of an attempt, with its name in transcripts. */
    enum RecordedOutcome {
        SUCCESS("answered", AttemptOutcome.SUCCESS),
        ERROR("error", AttemptOutcome.ERROR),
        OVERLOADED("full", AttemptOutcome.OVERLOADED),
        TIMED_OUT("timed-out", AttemptOutcome.TIMED_OUT),
        CONNECT_FAILED("no-connection", AttemptOutcome.CONNECT_FAILED),
        CONNECTION_LOST("broken", AttemptOutcome.CONNECTION_LOST),
        CANCELLED("called-off", AttemptOutcome.CANCELLED),
        NOT_SENT("never-sent", AttemptOutcome.NOT_SENT),
        CACHE_MISS("miss", AttemptOutcome.CACHE_MISS);

        private final String transcriptName;
        private final AttemptOutcome attemptOutcome;

        RecordedOutcome(String transcriptName, AttemptOutcome attemptOutcome) {
            this.transcriptName = transcriptName;
            this.attemptOutcome = attemptOutcome;
        }
    }

    /** The scope of an endpoint list event, with its name in transcripts. */
    enum RecordedScope {
        CACHED("cached", ListScope.CACHED),
        FULL("full", ListScope.FULL),
        CHANGES("changes", ListScope.CHANGES),
        FAILED("failed", ListScope.FAILED);

        private final String transcriptName;
        private final ListScope listScope;

        RecordedScope(String transcriptName, ListScope listScope) {
            this.transcriptName = transcriptName;
            this.listScope = listScope;
        }
    }

    /** The state of a node in an endpoint list, with its name in transcripts. */
    enum RecordedState {
        GONE("gone", NodeState.GONE),
        READY("ready", NodeState.READY),
        DRAINING("draining", NodeState.DRAINING);

        private final String transcriptName;
        private final NodeState nodeState;

        RecordedState(String transcriptName, NodeState nodeState) {
            this.transcriptName = transcriptName;
            this.nodeState = nodeState;
        }
    }

    /** A new request; a negative key stands for a request without a key. */
    record Arrival(
            long request,
            int category,
            int tenant,
            long key,
            long deadline,
            long work,
            long size,
            boolean isClientRetry,
            boolean isWrite) {}

    /** An entry of an endpoint list. */
    record ListedNode(
            long node,
            RecordedState state,
            int kind,
            double size,
            long startedAt,
            int cell,
            int zone) {}

    /** The end of an attempt; {@code loadReport} may be null. */
    record AttemptEnd(
            SentAttempt attempt,
            RecordedOutcome outcome,
            int cacheStatus,
            long duration,
            boolean isRequestOver,
            double[] loadReport) {}

    private final RunTranscript transcript = new RunTranscript();
    private final Settings settings;
    private final RecordingHost host;
    private Router router;
    private long listVersion;

    /** Creates a router with an empty warm start state. */
    RecordedRouter(Settings settings, long seed, long clock) {
        this.settings = settings;
        host = new RecordingHost(transcript, clock);
        router = new Router(settings, seed, clock, host, WarmStartState.EMPTY);
    }

    /** Returns the host, which stores the open attempts. */
    RecordingHost host() {
        return host;
    }

    /** Returns the transcript. */
    RunTranscript transcript() {
        return transcript;
    }

    /** Advances the clock and fires the timers that are due, in the order of their times. */
    void advance(long duration) {
        long end = host.clock() + duration;
        while (host.nextTimerAt() <= end) {
            long dueAt = host.nextTimerAt();
            host.advanceTo(dueAt);
            host.takeNextTimers()
                    .forEach(
                            timer ->
                                    handle("fired " + timer, new Event.TimerFired(timerId(timer))));
        }
        host.advanceTo(end);
    }

    /** Sends a new request to the router. */
    void requestArrived(Arrival arrival) {
        handle(
                RunTranscript.format(
                        "arrive request=%d category=%d tenant=%d key=%d expires=%d"
                                + " work=%d size=%d%s%s",
                        arrival.request,
                        arrival.category,
                        arrival.tenant,
                        arrival.key,
                        arrival.deadline,
                        arrival.work,
                        arrival.size,
                        arrival.isClientRetry ? " repeat" : "",
                        arrival.isWrite ? " write" : ""),
                new Event.RequestArrived(
                        new RequestId(arrival.request),
                        new CategoryId(arrival.category),
                        new TenantId(arrival.tenant),
                        arrival.key < 0 ? null : new KeyId(arrival.key),
                        arrival.deadline,
                        arrival.work,
                        arrival.size,
                        arrival.isClientRetry,
                        arrival.isWrite));
    }

    /**
     * Reports the end of an attempt. The attempt may already have ended or may never have existed.
     */
    void attemptEnded(AttemptEnd end) {
        SentAttempt attempt = end.attempt;
        host.attemptEnded(attempt);
        handle(
                RunTranscript.format(
                        "end request=%d attempt=%d node=%d how=%s note=%d took=%d%s%s",
                        attempt.request(),
                        attempt.attempt(),
                        attempt.node(),
                        end.outcome.transcriptName,
                        end.cacheStatus,
                        end.duration,
                        end.isRequestOver ? " over" : "",
                        transcriptText(end.loadReport)),
                new Event.AttemptEnded(
                        new RequestId(attempt.request()),
                        attempt.attempt(),
                        new NodeId(attempt.node()),
                        end.outcome.attemptOutcome,
                        end.cacheStatus,
                        end.duration,
                        end.isRequestOver,
                        end.loadReport));
    }

    /** Reports that the response of an attempt has begun to stream. */
    void streamingStarted(SentAttempt attempt, long duration) {
        handle(
                RunTranscript.format(
                        "stream request=%d attempt=%d node=%d took=%d",
                        attempt.request(), attempt.attempt(), attempt.node(), duration),
                new Event.StreamingStarted(
                        new RequestId(attempt.request()),
                        attempt.attempt(),
                        new NodeId(attempt.node()),
                        duration));
    }

    /** Reports that the client has disconnected. */
    void requestCancelled(long request) {
        handle("drop request=" + request, new Event.RequestCancelled(new RequestId(request)));
    }

    /** Reports the result of a health check. */
    void healthCheckEnded(long node, RecordedOutcome outcome, long duration, double[] loadReport) {
        handle(
                RunTranscript.format(
                        "probed node=%d how=%s took=%d%s",
                        node, outcome.transcriptName, duration, transcriptText(loadReport)),
                new Event.HealthCheckEnded(
                        new NodeId(node), outcome.attemptOutcome, duration, loadReport));
    }

    /** Reports a message from another proxy. */
    void peerMessageReceived(int peer, byte[] body) {
        handle(
                "peer " + peer + " bytes=" + body.length,
                new Event.PeerMessageReceived(new PeerId(peer), body));
    }

    /** Reports an endpoint list, or a failure to reach discovery. */
    void endpointListReceived(RecordedScope scope, List<ListedNode> nodes) {
        String nodeTexts =
                nodes.stream()
                        .map(node -> " " + transcriptText(node))
                        .collect(Collectors.joining());
        handle(
                RunTranscript.format(
                        "list %s nodes=%d%s", scope.transcriptName, nodes.size(), nodeTexts),
                new Event.EndpointListReceived(
                        scope.listScope,
                        ++listVersion,
                        nodes.stream().map(RecordedRouter::endpoint).toList()));
    }

    /** Starts or ends the maintenance of a node. */
    void maintenanceChanged(long node, boolean on) {
        handle(
                "hold node=" + node + (on ? " on" : " off"),
                new Event.MaintenanceChanged(new NodeId(node), on));
    }

    /** Reports the number of live proxies. */
    void liveProxyCountChanged(int count) {
        handle("proxies " + count, new Event.LiveProxyCountChanged(count));
    }

    /** Reports that other proxies cannot reach a node. */
    void nodeSuspected(long node) {
        handle("doubt node=" + node, new Event.NodeSuspected(new NodeId(node)));
    }

    /** Allows requests in every zone. */
    void placeAnywhere() {
        handle("place anywhere", new Event.PlacementChanged(Placement.ANYWHERE));
    }

    /** Has all requests rejected by the zone plan. */
    void placeNowhere() {
        handle("place nowhere", new Event.PlacementChanged((point, category) -> Placement.NOWHERE));
    }

    /**
     * Sends requests of streamed categories to one zone, and all others to a zone that depends on
     * their key's position on the ring.
     */
    void placeByZone(int zone, int zones) {
        handle(
                "place zone=" + zone + " of=" + zones,
                new Event.PlacementChanged(
                        (point, category) ->
                                new ZoneId(
                                        category.isStreamed()
                                                ? zone
                                                : (int) Math.floorMod(point >> 8, (long) zones))));
    }

    /** Announces a shutdown whose deadline is the given time. */
    void shutdownScheduled(long time) {
        handle("stop by=" + time, new Event.ShutdownScheduled(time));
    }

    /** Replaces the router by one that starts with its warm start state, some time later. */
    void replaceRouter(long seed, long delay) {
        WarmStartState state = router.warmStartState();
        recordState(state);
        host.clear();
        host.advanceTo(host.clock() + delay);
        transcript.addEvent(host.clock(), "restart");
        router = new Router(settings, seed, host.clock(), host, state);
    }

    /** Writes the router's warm start state to the transcript. */
    void recordWarmStartState() {
        recordState(router.warmStartState());
    }

    private void recordState(WarmStartState state) {
        transcript.addCall(
                host.clock(),
                RunTranscript.format(
                        "learnt at=%d store=%s rate=%s",
                        state.recordedAt(),
                        hexDigits(state.originLatency()),
                        hexDigits(state.sendsPerSecond())));
        state.nodes().entrySet().stream()
                .sorted(Comparator.comparingLong(node -> node.getKey().value()))
                .map(
                        node ->
                                RunTranscript.format(
                                        "learnt node=%d started=%d share=%s",
                                        node.getKey().value(),
                                        node.getValue().startedAt(),
                                        hexDigits(node.getValue().acceptedShare())))
                .forEach(line -> transcript.addCall(host.clock(), line));
    }

    /** Returns the exact value in hexadecimal, which is the same text on every Java version. */
    private static String hexDigits(double value) {
        return Double.toHexString(value);
    }

    private void handle(String line, Event event) {
        transcript.addEvent(host.clock(), line);
        router.handle(host.clock(), event);
    }

    private static TimerId timerId(long timer) {
        return new TimerId(timer);
    }

    private static Event.Endpoint endpoint(ListedNode listed) {
        return new Event.Endpoint(
                new NodeId(listed.node),
                listed.state.nodeState,
                new MachineKind(listed.kind),
                listed.size,
                listed.startedAt,
                new CellId(listed.cell),
                new ZoneId(listed.zone));
    }

    private static String transcriptText(ListedNode listed) {
        return RunTranscript.format(
                "%d:%s:kind%d:%s:%d:cell%d:zone%d",
                listed.node,
                listed.state.transcriptName,
                listed.kind,
                listed.size,
                listed.startedAt,
                listed.cell,
                listed.zone);
    }

    private static String transcriptText(double[] loadReport) {
        if (loadReport == null) {
            return "";
        }
        return Arrays.stream(loadReport)
                .mapToObj(Double::toString)
                .collect(Collectors.joining(",", " report=", ""));
    }
}

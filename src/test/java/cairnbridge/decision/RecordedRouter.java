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
import cairnbridge.decision.RecordingHost.Sent;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

/**
 * A router and its host in a recorded run. The one place that makes the module's events, each from
 * plain figures and with a line in the transcript.
 */
final class RecordedRouter {
    /** How an attempt ends. */
    enum How {
        ANSWERED("answered", AttemptOutcome.SUCCESS),
        ERROR("error", AttemptOutcome.ERROR),
        FULL("full", AttemptOutcome.OVERLOADED),
        TIMED_OUT("timed-out", AttemptOutcome.TIMED_OUT),
        NO_CONNECTION("no-connection", AttemptOutcome.CONNECT_FAILED),
        BROKEN("broken", AttemptOutcome.CONNECTION_LOST),
        CALLED_OFF("called-off", AttemptOutcome.CANCELLED),
        NEVER_SENT("never-sent", AttemptOutcome.NOT_SENT),
        MISS("miss", AttemptOutcome.CACHE_MISS);

        private final String word;
        private final AttemptOutcome ending;

        How(String word, AttemptOutcome ending) {
            this.word = word;
            this.ending = ending;
        }
    }

    /** What an endpoint list covers. */
    enum Listing {
        CACHED("cached", ListScope.CACHED),
        FULL("full", ListScope.FULL),
        CHANGES("changes", ListScope.CHANGES),
        FAILED("failed", ListScope.FAILED);

        private final String word;
        private final ListScope scope;

        Listing(String word, ListScope scope) {
            this.word = word;
            this.scope = scope;
        }
    }

    /** What an endpoint list says of a node. */
    enum Condition {
        GONE("gone", NodeState.GONE),
        READY("ready", NodeState.READY),
        DRAINING("draining", NodeState.DRAINING);

        private final String word;
        private final NodeState state;

        Condition(String word, NodeState state) {
            this.word = word;
            this.state = state;
        }
    }

    /** A new request; a key below 0 stands for none. */
    record Arrival(
            long request,
            int category,
            int tenant,
            long key,
            long expires,
            long work,
            long size,
            boolean repeat,
            boolean write) {}

    /** One node of an endpoint list. */
    record Listed(
            long node,
            Condition condition,
            int kind,
            double size,
            long started,
            int cell,
            int zone) {}

    /** The end of an attempt; report may be null. */
    record End(Sent sent, How how, int note, long took, boolean over, double[] report) {}

    private final RunTranscript transcript = new RunTranscript();
    private final Settings settings;
    private final RecordingHost host;
    private Router router;
    private long version;

    /** A router that has learnt nothing. */
    RecordedRouter(Settings settings, long seed, long clock) {
        this.settings = settings;
        host = new RecordingHost(transcript, clock);
        router = new Router(settings, seed, clock, host, WarmStartState.EMPTY);
    }

    /** The host, for what is open. */
    RecordingHost host() {
        return host;
    }

    /** What was written. */
    RunTranscript transcript() {
        return transcript;
    }

    /** Lets time pass; timers fire in the order of their times. */
    void pass(long span) {
        long end = host.clock() + span;
        while (host.nextDue() <= end) {
            long due = host.nextDue();
            host.clock(due);
            host.takeDue()
                    .forEach(timer -> tell("fired " + timer, new Event.TimerFired(id(timer))));
        }
        host.clock(end);
    }

    /** A request arrives. */
    void arrives(Arrival a) {
        tell(
                RunTranscript.line(
                        "arrive request=%d category=%d tenant=%d key=%d expires=%d"
                                + " work=%d size=%d%s%s",
                        a.request,
                        a.category,
                        a.tenant,
                        a.key,
                        a.expires,
                        a.work,
                        a.size,
                        a.repeat ? " repeat" : "",
                        a.write ? " write" : ""),
                new Event.RequestArrived(
                        new RequestId(a.request),
                        new CategoryId(a.category),
                        new TenantId(a.tenant),
                        a.key < 0 ? null : new KeyId(a.key),
                        a.expires,
                        a.work,
                        a.size,
                        a.repeat,
                        a.write));
    }

    /** An attempt ends; it may be one that ended before or that never was. */
    void ends(End end) {
        Sent sent = end.sent;
        host.closed(sent);
        tell(
                RunTranscript.line(
                        "end request=%d attempt=%d node=%d how=%s note=%d took=%d%s%s",
                        sent.request(),
                        sent.attempt(),
                        sent.node(),
                        end.how.word,
                        end.note,
                        end.took,
                        end.over ? " over" : "",
                        line(end.report)),
                new Event.AttemptEnded(
                        new RequestId(sent.request()),
                        sent.attempt(),
                        new NodeId(sent.node()),
                        end.how.ending,
                        end.note,
                        end.took,
                        end.over,
                        end.report));
    }

    /** The answer to an attempt has begun, as a stream. */
    void streams(Sent sent, long took) {
        tell(
                RunTranscript.line(
                        "stream request=%d attempt=%d node=%d took=%d",
                        sent.request(), sent.attempt(), sent.node(), took),
                new Event.StreamingStarted(
                        new RequestId(sent.request()),
                        sent.attempt(),
                        new NodeId(sent.node()),
                        took));
    }

    /** The client has gone away. */
    void drops(long request) {
        tell("drop request=" + request, new Event.RequestCancelled(new RequestId(request)));
    }

    /** A probe ends. */
    void probed(long node, How how, long took, double[] report) {
        tell(
                RunTranscript.line(
                        "probed node=%d how=%s took=%d%s", node, how.word, took, line(report)),
                new Event.HealthCheckEnded(new NodeId(node), how.ending, took, report));
    }

    /** Another proxy says something. */
    void peerSays(int peer, byte[] body) {
        tell(
                "peer " + peer + " bytes=" + body.length,
                new Event.PeerMessageReceived(new PeerId(peer), body));
    }

    /** An endpoint list, or news of it. */
    void lists(Listing listing, List<Listed> nodes) {
        String each = nodes.stream().map(node -> " " + line(node)).collect(Collectors.joining());
        tell(
                RunTranscript.line("list %s nodes=%d%s", listing.word, nodes.size(), each),
                new Event.EndpointListReceived(
                        listing.scope,
                        ++version,
                        nodes.stream().map(RecordedRouter::entry).toList()));
    }

    /** Staff take a node out or put it back. */
    void holds(long node, boolean on) {
        tell(
                "hold node=" + node + (on ? " on" : " off"),
                new Event.MaintenanceChanged(new NodeId(node), on));
    }

    /** So many proxies live. */
    void proxies(int count) {
        tell("proxies " + count, new Event.LiveProxyCountChanged(count));
    }

    /** Other proxies doubt a node. */
    void doubts(long node) {
        tell("doubt node=" + node, new Event.NodeSuspected(new NodeId(node)));
    }

    /** Requests may go anywhere. */
    void placesAnywhere() {
        tell("place anywhere", new Event.PlacementChanged(Placement.ANYWHERE));
    }

    /** Requests may go nowhere. */
    void placesNowhere() {
        tell("place nowhere", new Event.PlacementChanged((point, category) -> Placement.NOWHERE));
    }

    /** Requests of one category in two go to one zone; the others to a zone by their points. */
    void placesByZone(int zone, int zones) {
        tell(
                "place zone=" + zone + " of=" + zones,
                new Event.PlacementChanged(
                        (point, category) ->
                                new ZoneId(
                                        category.isStreamed()
                                                ? zone
                                                : (int) Math.floorMod(point >> 8, (long) zones))));
    }

    /** The proxy is to end at a time. */
    void stopBy(long time) {
        tell("stop by=" + time, new Event.ShutdownScheduled(time));
    }

    /** Another router takes this one's place, some time later, with what it had learnt. */
    void restarts(long seed, long later) {
        WarmStartState learnt = router.warmStartState();
        writeLearnt(learnt);
        host.forgetAll();
        host.clock(host.clock() + later);
        transcript.event(host.clock(), "restart");
        router = new Router(settings, seed, host.clock(), host, learnt);
    }

    /** Writes down what the router has learnt. */
    void writesLearnt() {
        writeLearnt(router.warmStartState());
    }

    private void writeLearnt(WarmStartState learnt) {
        transcript.call(
                host.clock(),
                RunTranscript.line(
                        "learnt at=%d store=%s rate=%s",
                        learnt.recordedAt(),
                        exact(learnt.originLatency()),
                        exact(learnt.sendsPerSecond())));
        learnt.nodes().entrySet().stream()
                .sorted(Comparator.comparingLong(each -> each.getKey().value()))
                .map(
                        each ->
                                RunTranscript.line(
                                        "learnt node=%d started=%d share=%s",
                                        each.getKey().value(),
                                        each.getValue().startedAt(),
                                        exact(each.getValue().acceptedShare())))
                .forEach(line -> transcript.call(host.clock(), line));
    }

    /** Every bit of a figure, in the same letters on every Java. */
    private static String exact(double value) {
        return Double.toHexString(value);
    }

    private void tell(String line, Event event) {
        transcript.event(host.clock(), line);
        router.handle(host.clock(), event);
    }

    private static TimerId id(long timer) {
        return new TimerId(timer);
    }

    private static Event.Endpoint entry(Listed listed) {
        return new Event.Endpoint(
                new NodeId(listed.node),
                listed.condition.state,
                new MachineKind(listed.kind),
                listed.size,
                listed.started,
                new CellId(listed.cell),
                new ZoneId(listed.zone));
    }

    private static String line(Listed listed) {
        return RunTranscript.line(
                "%d:%s:kind%d:%s:%d:cell%d:zone%d",
                listed.node,
                listed.condition.word,
                listed.kind,
                listed.size,
                listed.started,
                listed.cell,
                listed.zone);
    }

    private static String line(double[] report) {
        if (report == null) {
            return "";
        }
        return Arrays.stream(report)
                .mapToObj(Double::toString)
                .collect(Collectors.joining(",", " report=", ""));
    }
}

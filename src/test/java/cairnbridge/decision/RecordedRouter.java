package cairnbridge.decision;

import cairnbridge.decision.Event.Ending;
import cairnbridge.decision.Event.Scope;
import cairnbridge.decision.Event.State;
import cairnbridge.decision.Ids.CategoryId;
import cairnbridge.decision.Ids.CellId;
import cairnbridge.decision.Ids.KeyId;
import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.OpId;
import cairnbridge.decision.Ids.PeerId;
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
        ANSWERED("answered", Ending.ACKED),
        ERROR("error", Ending.ERROR),
        FULL("full", Ending.FULL),
        TIMED_OUT("timed-out", Ending.TIMED_OUT),
        NO_CONNECTION("no-connection", Ending.NO_CONNECTION),
        BROKEN("broken", Ending.BROKEN),
        CALLED_OFF("called-off", Ending.CALLED_OFF),
        NEVER_SENT("never-sent", Ending.NEVER_SENT),
        MISS("miss", Ending.MISS);

        private final String word;
        private final Ending ending;

        How(String word, Ending ending) {
            this.word = word;
            this.ending = ending;
        }
    }

    /** What an endpoint list covers. */
    enum Listing {
        CACHED("cached", Scope.CACHED),
        FULL("full", Scope.FULL),
        CHANGES("changes", Scope.CHANGES),
        FAILED("failed", Scope.FAILED);

        private final String word;
        private final Scope scope;

        Listing(String word, Scope scope) {
            this.word = word;
            this.scope = scope;
        }
    }

    /** What an endpoint list says of a node. */
    enum Condition {
        GONE("gone", State.GONE),
        READY("ready", State.READY),
        DRAINING("draining", State.DRAINING);

        private final String word;
        private final State state;

        Condition(String word, State state) {
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
        router = new Router(settings, seed, clock, host, Learnt.NOTHING);
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
                new Event.OpArrived(
                        new OpId(a.request),
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
                new Event.PushEnded(
                        new OpId(sent.request()),
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
                new Event.StreamBegan(
                        new OpId(sent.request()), sent.attempt(), new NodeId(sent.node()), took));
    }

    /** The client has gone away. */
    void drops(long request) {
        tell("drop request=" + request, new Event.OpDropped(new OpId(request)));
    }

    /** A probe ends. */
    void probed(long node, How how, long took, double[] report) {
        tell(
                RunTranscript.line(
                        "probed node=%d how=%s took=%d%s", node, how.word, took, line(report)),
                new Event.ProbeEnded(new NodeId(node), how.ending, took, report));
    }

    /** Another proxy says something. */
    void peerSays(int peer, byte[] body) {
        tell("peer " + peer + " bytes=" + body.length, new Event.PeerSaid(new PeerId(peer), body));
    }

    /** An endpoint list, or news of it. */
    void lists(Listing listing, List<Listed> nodes) {
        String each = nodes.stream().map(node -> " " + line(node)).collect(Collectors.joining());
        tell(
                RunTranscript.line("list %s nodes=%d%s", listing.word, nodes.size(), each),
                new Event.Roster(
                        listing.scope,
                        ++version,
                        nodes.stream().map(RecordedRouter::entry).toList()));
    }

    /** Staff take a node out or put it back. */
    void holds(long node, boolean on) {
        tell("hold node=" + node + (on ? " on" : " off"), new Event.Held(new NodeId(node), on));
    }

    /** So many proxies live. */
    void proxies(int count) {
        tell("proxies " + count, new Event.Proxies(count));
    }

    /** Other proxies doubt a node. */
    void doubts(long node) {
        tell("doubt node=" + node, new Event.Doubted(new NodeId(node)));
    }

    /** Requests may go anywhere. */
    void placesAnywhere() {
        tell("place anywhere", new Event.Placed(Placement.ANYWHERE));
    }

    /** Requests may go nowhere. */
    void placesNowhere() {
        tell("place nowhere", new Event.Placed((point, category) -> Placement.NOWHERE));
    }

    /** Requests of one category in two go to one zone; the others to a zone by their points. */
    void placesByZone(int zone, int zones) {
        tell(
                "place zone=" + zone + " of=" + zones,
                new Event.Placed(
                        (point, category) ->
                                new ZoneId(
                                        category.stream()
                                                ? zone
                                                : (int) Math.floorMod(point >> 8, (long) zones))));
    }

    /** The proxy is to end at a time. */
    void stopBy(long time) {
        tell("stop by=" + time, new Event.StopBy(time));
    }

    /** Another router takes this one's place, some time later, with what it had learnt. */
    void restarts(long seed, long later) {
        Learnt learnt = router.learnt();
        writeLearnt(learnt);
        host.forgetAll();
        host.clock(host.clock() + later);
        transcript.event(host.clock(), "restart");
        router = new Router(settings, seed, host.clock(), host, learnt);
    }

    /** Writes down what the router has learnt. */
    void writesLearnt() {
        writeLearnt(router.learnt());
    }

    private void writeLearnt(Learnt learnt) {
        transcript.call(
                host.clock(),
                RunTranscript.line(
                        "learnt at=%d store=%s rate=%s",
                        learnt.at(), exact(learnt.originSpan()), exact(learnt.sendRate())));
        learnt.nodes().entrySet().stream()
                .sorted(Comparator.comparingLong(each -> each.getKey().value()))
                .map(
                        each ->
                                RunTranscript.line(
                                        "learnt node=%d started=%d share=%s",
                                        each.getKey().value(),
                                        each.getValue().started(),
                                        exact(each.getValue().share())))
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

    private static Event.Entry entry(Listed listed) {
        return new Event.Entry(
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

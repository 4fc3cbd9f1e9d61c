package cairnbridge.decision;

import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.PeerId;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Ids.TimerId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A host that writes down every call in order and keeps the open sends and the timers. */
final class RecordingHost implements Host {
    /** An attempt that the router has begun, and when. */
    record Sent(long request, int attempt, long node, long at) {}

    private final RunTranscript transcript;
    private final List<Sent> open = new ArrayList<>();

    /** Only asked for what it holds; never walked. */
    private final Set<Sent> cancelled = new HashSet<>();

    private final Map<Long, Integer> attempts = new HashMap<>();
    private final TreeMap<Long, List<Long>> timers = new TreeMap<>();
    private long clock;

    /** Every line goes to this transcript. */
    RecordingHost(RunTranscript transcript, long clock) {
        this.transcript = transcript;
        this.clock = clock;
    }

    /** The time now. */
    long clock() {
        return clock;
    }

    /** Moves the clock on; never back. */
    void clock(long time) {
        clock = Math.max(clock, time);
    }

    /** The attempts without an end, in the order of their begin. */
    List<Sent> open() {
        return open;
    }

    /** Whether the router called this attempt off. */
    boolean wasCancelled(Sent sent) {
        return cancelled.contains(sent);
    }

    /** The attempt has an end now. */
    void closed(Sent sent) {
        open.remove(sent);
        cancelled.remove(sent);
    }

    /** When the next timer fires; the largest time where there is none. */
    long nextDue() {
        return timers.isEmpty() ? Long.MAX_VALUE : timers.firstKey();
    }

    /** Takes the timers of the next time at which any fires, in the order of their setting. */
    List<Long> takeDue() {
        return timers.pollFirstEntry().getValue();
    }

    /** As after the end of the process: no attempts and no timers. */
    void forgetAll() {
        open.clear();
        cancelled.clear();
        attempts.clear();
        timers.clear();
    }

    private void call(String line) {
        transcript.call(clock, line);
    }

    @Override
    public void sendAttempt(RequestId op, NodeId node, long timeOut, long latestBegin) {
        long request = op.value();
        int attempt = attempts.merge(request, 1, Integer::sum) - 1;
        boolean second = open.stream().anyMatch(sent -> sent.request() == request);
        open.add(new Sent(request, attempt, node.value(), clock));
        call(
                RunTranscript.line(
                        "send request=%d attempt=%d node=%d timeout=%d latest=%d%s",
                        request,
                        attempt,
                        node.value(),
                        timeOut,
                        latestBegin,
                        second ? " second" : ""));
    }

    @Override
    public void cancelAttempt(RequestId op, int push) {
        open.stream()
                .filter(sent -> sent.request() == op.value() && sent.attempt() == push)
                .forEach(cancelled::add);
        call("cancel request=" + op.value() + " attempt=" + push);
    }

    @Override
    public void rejectRetryable(RequestId op, long retryAfter) {
        call("nack request=" + op.value() + " retry=" + retryAfter);
    }

    @Override
    public void failPermanently(RequestId op) {
        call("dead request=" + op.value());
    }

    @Override
    public void startTimer(long in, TimerId timer) {
        timers.computeIfAbsent(clock + in, due -> new ArrayList<>()).add(timer.value());
        call("timer " + timer.value() + " in=" + in);
    }

    @Override
    public void checkHealth(NodeId node) {
        call("probe node=" + node.value());
    }

    @Override
    public void sendToPeer(PeerId peer, byte[] body) {
        call("tell peer=" + (peer == null ? "all" : peer.value()) + " bytes=" + body.length);
    }

    @Override
    public void subscribeToEndpoints(boolean on) {
        call("subscribe " + (on ? "on" : "off"));
    }

    @Override
    public void fetchEndpointList() {
        call("fetch-list");
    }

    @Override
    public void avoidedNodeCountChanged(int nodes) {
        call("avoids " + nodes);
    }

    @Override
    public void log(String line) {
        call("log " + line);
    }
}

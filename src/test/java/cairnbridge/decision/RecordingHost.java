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

/**
 * A host that writes every call to a transcript, and stores the open attempts and the pending
 * timers.
 */
final class RecordingHost implements Host {
    /** An attempt sent by the router, and the time of sending. */
    record SentAttempt(long request, int attempt, long node, long sentAt) {}

    private final RunTranscript transcript;
    private final List<SentAttempt> openAttempts = new ArrayList<>();

    /**
     * Used for membership tests only: its iteration order is undefined and would make transcripts
     * differ.
     */
    private final Set<SentAttempt> cancelled = new HashSet<>();

    private final Map<Long, Integer> attemptCounts = new HashMap<>();
    private final TreeMap<Long, List<Long>> timers = new TreeMap<>();
    private long clock;

    /** Creates a host that writes every call to this transcript. */
    RecordingHost(RunTranscript transcript, long clock) {
        this.transcript = transcript;
        this.clock = clock;
    }

    /** Returns the current time. */
    long clock() {
        return clock;
    }

    /** Advances the clock; an earlier time is ignored. */
    void advanceTo(long time) {
        clock = Math.max(clock, time);
    }

    /** Returns the attempts that have not ended, in the order in which they were sent. */
    List<SentAttempt> openAttempts() {
        return openAttempts;
    }

    /** Whether the router has cancelled this attempt. */
    boolean isCancelled(SentAttempt sent) {
        return cancelled.contains(sent);
    }

    /** Removes an attempt that has ended. */
    void attemptEnded(SentAttempt sent) {
        openAttempts.remove(sent);
        cancelled.remove(sent);
    }

    /** Returns the time at which the next timer fires, {@code Long.MAX_VALUE} if there is none. */
    long nextTimerAt() {
        return timers.isEmpty() ? Long.MAX_VALUE : timers.firstKey();
    }

    /**
     * Removes and returns all timers that fire at the next due time, in the order in which they
     * were started.
     */
    List<Long> takeNextTimers() {
        return timers.pollFirstEntry().getValue();
    }

    /** Discards all attempts and timers, as the end of the process does. */
    void clear() {
        openAttempts.clear();
        cancelled.clear();
        attemptCounts.clear();
        timers.clear();
    }

    private void recordCall(String line) {
        transcript.addCall(clock, line);
    }

    @Override
    public void sendAttempt(RequestId requestId, NodeId node, long timeout, long latestStart) {
        long request = requestId.value();
        int attempt = attemptCounts.merge(request, 1, Integer::sum) - 1;
        boolean isHedged = openAttempts.stream().anyMatch(sent -> sent.request() == request);
        openAttempts.add(new SentAttempt(request, attempt, node.value(), clock));
        recordCall(
                RunTranscript.format(
                        "send request=%d attempt=%d node=%d timeout=%d latest=%d%s",
                        request,
                        attempt,
                        node.value(),
                        timeout,
                        latestStart,
                        isHedged ? " second" : ""));
    }

    @Override
    public void cancelAttempt(RequestId requestId, int attempt) {
        openAttempts.stream()
                .filter(sent -> sent.request() == requestId.value() && sent.attempt() == attempt)
                .forEach(cancelled::add);
        recordCall("cancel request=" + requestId.value() + " attempt=" + attempt);
    }

    @Override
    public void rejectRetryable(RequestId requestId, long retryAfter) {
        recordCall("nack request=" + requestId.value() + " retry=" + retryAfter);
    }

    @Override
    public void failPermanently(RequestId requestId) {
        recordCall("dead request=" + requestId.value());
    }

    @Override
    public void startTimer(long delay, TimerId timer) {
        timers.computeIfAbsent(clock + delay, dueAt -> new ArrayList<>()).add(timer.value());
        recordCall("timer " + timer.value() + " in=" + delay);
    }

    @Override
    public void checkHealth(NodeId node) {
        recordCall("probe node=" + node.value());
    }

    @Override
    public void sendToPeer(PeerId peer, byte[] body) {
        recordCall("tell peer=" + (peer == null ? "all" : peer.value()) + " bytes=" + body.length);
    }

    @Override
    public void subscribeToEndpoints(boolean on) {
        recordCall("subscribe " + (on ? "on" : "off"));
    }

    @Override
    public void fetchEndpointList() {
        recordCall("fetch-list");
    }

    @Override
    public void avoidedNodeCountChanged(int nodes) {
        recordCall("avoids " + nodes);
    }

    @Override
    public void log(String line) {
        recordCall("log " + line);
    }
}

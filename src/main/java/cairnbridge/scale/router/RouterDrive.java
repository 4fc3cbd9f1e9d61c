package cairnbridge.scale.router;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Host;
import cairnbridge.decision.Ids.CategoryId;
import cairnbridge.decision.Ids.KeyId;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.PeerId;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Ids.TenantId;
import cairnbridge.decision.Ids.TimerId;
import cairnbridge.scale.router.DriveCounts.HostCall;
import java.util.ArrayDeque;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Drives one decider through arrivals and endings in simulated time: requests come at random times,
 * every push is answered after the same latency. The same load gives the same counts.
 */
final class RouterDrive implements Host {
    /** The router's bound never lies under this many in flight. */
    static final int LEAST_BOUND = 2;

    private static final long TTL = 800 * RouterLoad.MILLISECOND;

    private record DueTimer(long time, long order, TimerId timer) {}

    private record Push(long due, RequestId op, int number, int node, long sent) {}

    private final RouterLoad load;
    private final int[] homes;
    private final Decider decider;
    private final RandomGenerator chance;
    private final DriveCounts counts = new DriveCounts();
    private final PriorityQueue<DueTimer> timers =
            new PriorityQueue<>(
                    (one, other) ->
                            one.time != other.time
                                    ? Long.compare(one.time, other.time)
                                    : Long.compare(one.order, other.order));

    /** In the order of their ends, as all take as long. */
    private final Queue<Push> pushes = new ArrayDeque<>();

    private final int[] inFlight;
    private final long latency;
    private long clock = RouterLoad.START;
    private double nextArrival = clock;
    private long timerOrder;
    private long arrivals;
    private int pushesOfRequest;
    private int arrivingHome;
    private NodeSamples samples;
    private int nextSample;
    private long nextSampleAt = Long.MAX_VALUE;

    /**
     * The decider is made with this host.
     *
     * @param homes by key, the node that an idle router sends it to
     */
    RouterDrive(RouterLoad load, int[] homes, Function<Host, Decider> maker) {
        this.load = load;
        this.homes = homes;
        chance = RandomGeneratorFactory.of("L64X128MixRandom").create(load.seed());
        inFlight = new int[load.nodes() + 1];
        latency = Math.max(1, Math.round(load.latencyMillis() * RouterLoad.MILLISECOND));
        decider = maker.apply(this);
    }

    void tell(Event event) {
        decider.handle(clock, event);
    }

    /** So many requests arrive, and all are answered. */
    DriveCounts arrive(int requests) {
        long from = clock;
        nextArrival = Math.max(nextArrival, clock);
        long last = arrivals + requests;
        while (arrivals < last) {
            passUntil((long) nextArrival);
            arriveOne();
            nextArrival -= Math.log(1 - chance.nextDouble()) * RouterLoad.SECOND / load.perSecond();
        }
        counts.ticks += clock - from;
        while (!pushes.isEmpty()) {
            passUntil(pushes.peek().due);
        }
        return counts;
    }

    /** What has been counted so far; it goes on to count. */
    DriveCounts counts() {
        return counts;
    }

    /** From now on requests and samples of what is in flight are added to these. */
    void sampleInto(NodeSamples into) {
        samples = into;
        nextSample = 0;
        nextSampleAt = clock + NodeSamples.INTERVAL;
    }

    /** Time passes, with its timers and answers. */
    void pass(long ticks) {
        passUntil(clock + ticks);
    }

    private void passUntil(long end) {
        while (true) {
            long answer = pushes.isEmpty() ? Long.MAX_VALUE : pushes.peek().due;
            long timer = timers.isEmpty() ? Long.MAX_VALUE : timers.peek().time;
            long next = Math.min(answer, timer);
            if (next > end) {
                break;
            }
            moveClock(next);
            if (answer <= timer) {
                answered(pushes.poll());
            } else {
                tell(new Event.TimerFired(timers.poll().timer));
            }
        }
        moveClock(end);
    }

    private void moveClock(long to) {
        while (nextSampleAt <= to && nextSample < samples.samples()) {
            samples.add(nextSample++, inFlight);
            nextSampleAt += NodeSamples.INTERVAL;
        }
        counts.inFlightTicks += (double) pushes.size() * Math.max(0, to - clock);
        clock = Math.max(clock, to);
    }

    private void arriveOne() {
        int key = (int) (load.keys() * Math.pow(chance.nextDouble(), load.skew()));
        arrivingHome = homes[key];
        pushesOfRequest = 0;
        counts.requests++;
        counts.homeBusy += inFlight[arrivingHome] >= LEAST_BOUND ? 1 : 0;
        tell(
                new Event.RequestArrived(
                        new RequestId(++arrivals),
                        new CategoryId(0),
                        new TenantId(0),
                        new KeyId(key),
                        clock + TTL,
                        0,
                        -1,
                        false,
                        false));
    }

    private void answered(Push push) {
        inFlight[push.node]--;
        tell(
                new Event.AttemptEnded(
                        push.op,
                        push.number,
                        new NodeId(push.node),
                        AttemptOutcome.SUCCESS,
                        1,
                        clock - push.sent,
                        true,
                        null));
    }

    @Override
    public void sendAttempt(RequestId op, NodeId nodeId, long timeOut, long latestBegin) {
        counts.count(HostCall.PUSH);
        int node = (int) nodeId.value();
        if (pushesOfRequest == 0) {
            placed(node);
        }
        pushes.add(new Push(clock + latency, op, pushesOfRequest++, node, clock));
        inFlight[node]++;
        if (samples != null) {
            samples.sent(node);
        }
    }

    private void placed(int node) {
        if (node == arrivingHome) {
            counts.atHome++;
        } else if (inFlight[arrivingHome] >= LEAST_BOUND) {
            counts.movedFromBusyHome++;
        } else {
            counts.movedFromFreeHome++;
        }
    }

    @Override
    public void cancelAttempt(RequestId op, int push) {
        counts.count(HostCall.CANCEL);
    }

    @Override
    public void rejectRetryable(RequestId op, long retryAfter) {
        counts.count(HostCall.REFUSAL);
    }

    @Override
    public void failPermanently(RequestId op) {
        counts.count(HostCall.REFUSAL);
    }

    @Override
    public void startTimer(long in, TimerId timer) {
        counts.count(HostCall.TIMER);
        timers.add(new DueTimer(clock + in, ++timerOrder, timer));
    }

    @Override
    public void checkHealth(NodeId node) {
        counts.count(HostCall.PROBE);
    }

    @Override
    public void sendToPeer(PeerId peer, byte[] body) {
        counts.count(HostCall.OTHER);
    }

    @Override
    public void subscribeToEndpoints(boolean on) {
        counts.count(HostCall.OTHER);
    }

    @Override
    public void fetchEndpointList() {
        counts.count(HostCall.OTHER);
    }

    @Override
    public void avoidedNodeCountChanged(int nodes) {
        counts.count(HostCall.AVOIDS);
    }

    @Override
    public void log(String line) {
        counts.count(HostCall.OTHER);
    }
}

package cairnbridge.propagation.simulated;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.propagation.Change;
import cairnbridge.propagation.MemberLocation;
import cairnbridge.propagation.Message;
import cairnbridge.propagation.Position;
import cairnbridge.propagation.Publisher;
import cairnbridge.propagation.RetainedLog;
import cairnbridge.propagation.Subscriber;
import cairnbridge.propagation.SubscriberHost;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/** A simulated process of a {@link PropagationNet}: a member or a control machine. */
public final class SimulatedNode implements SubscriberHost {
    /** The number of messages a socket buffer holds while the process is frozen. */
    private static final int BUFFERED_MESSAGES = 4_000;

    private final PropagationNet net;

    /** The unique id of this node. */
    public final MemberId id;

    /** The region and site of a member; empty at a control machine. */
    public final Optional<MemberLocation> location;

    private final String region;
    private final ArrayDeque<Runnable> buffered = new ArrayDeque<>();
    private final Set<Position> rejected = new HashSet<>();
    private Subscriber subscriber;
    private Publisher publisher;
    private Optional<Change> latest = Optional.empty();
    private boolean running;
    private boolean frozen;
    private int partition;
    private long clockOffset;
    private long timerAt;
    private long generation;
    private long bytesSent;
    private long bytesReceived;
    private long messagesSent;

    /** Returns why the node rejects a change, or empty to accept it; accepts all by default. */
    public Function<Change, Optional<String>> rejectionReason = change -> Optional.empty();

    SimulatedNode(
            PropagationNet net, MemberId id, Optional<MemberLocation> location, String region) {
        this.net = net;
        this.id = id;
        this.location = location;
        this.region = region;
    }

    /** Whether the process exists, even if it is frozen. */
    public boolean isRunning() {
        return running;
    }

    /** Whether the process is suspended and can be resumed. */
    public boolean isFrozen() {
        return frozen;
    }

    /** Whether this node is a member and not a control machine. */
    public boolean isMember() {
        return location.isPresent();
    }

    /** The subscriber of this node; null while it is the publisher. */
    public Subscriber subscriber() {
        return subscriber;
    }

    /** The publisher of this node; null unless it is the publisher. */
    public Publisher publisher() {
        return publisher;
    }

    /** The position of the change in force, or last in force if the process has ended. */
    public Position inForce() {
        return latest.map(Change::position).orElse(Position.NONE);
    }

    /** The body of the change in force. */
    public Optional<byte[]> body() {
        return latest.map(Change::body);
    }

    /** The total size of all messages sent, including lost ones. */
    public long bytesSent() {
        return bytesSent;
    }

    /** The total size of all messages handled. */
    public long bytesReceived() {
        return bytesReceived;
    }

    /** The number of messages sent, including lost ones. */
    public long messagesSent() {
        return messagesSent;
    }

    /** The number of subscribed downstreams. */
    public int downstreams() {
        return publisher != null ? publisher.downstreams() : subscriber.downstreams();
    }

    String region() {
        return region;
    }

    boolean isAtSiteOf(SimulatedNode other) {
        return location.isPresent()
                && other.location.isPresent()
                && location.get().site().equals(other.location.get().site());
    }

    /** Starts or restarts the process with the change last in force. */
    void start() {
        running = true;
        frozen = false;
        generation++;
        buffered.clear();
        rejected.clear();
        publisher = null;
        timerAt = Long.MAX_VALUE;
        startSubscriber();
        startTimer();
    }

    /** Restarts the process after it has lost the change in force. */
    void startEmpty() {
        latest = Optional.empty();
        start();
    }

    /** Becomes the publisher of an epoch and continues the given log. */
    void startPublisher(long epoch, RetainedLog log, List<MemberLocation> members) {
        publisher =
                new Publisher(
                        epoch, log, net.candidates(this), members, net.settings, this, clock());
        subscriber = null;
        startTimer();
    }

    /** Publishes a change; this node must be the publisher. */
    Position publish(byte[] body, boolean superseding) {
        Position position = publisher.publish(body, superseding, clock());
        startTimer();
        return position;
    }

    /** Ends the process without any notice to other nodes. */
    void crash() {
        running = false;
    }

    /** Suspends the process; messages are buffered until it is thawed. */
    void freeze() {
        frozen = true;
    }

    /** Resumes the process, which then handles its buffered messages. */
    void thaw() {
        frozen = false;
        List<Runnable> resumed = new ArrayList<>(buffered);
        buffered.clear();
        resumed.forEach(each -> net.events.schedule(0, each));
    }

    /** Moves the node to one side of a partition. */
    void setPartition(int newPartition) {
        partition = newPartition;
    }

    /** Shifts the node's clock by a number of ticks, which may be negative. */
    void shiftClock(long by) {
        clockOffset += by;
    }

    @Override
    public void send(MemberId to, Message message) {
        bytesSent += message.size();
        messagesSent++;
        net.largestMessage = Math.max(net.largestMessage, message.size());
        SimulatedNode other = net.nodes.get(to);
        if (other == null || other.partition != partition || net.random.nextDouble() < net.loss) {
            return;
        }
        deliver(other, message, net.latency.draw(this, other));
        if (net.duplicated > 0 && net.random.nextDouble() < net.duplicated) {
            deliver(other, message, 3 * net.latency.draw(this, other));
        }
    }

    private void deliver(SimulatedNode other, Message message, long delay) {
        net.events.schedule(delay, () -> other.receive(id, message));
    }

    private void receive(MemberId from, Message message) {
        if (!running) {
            return;
        }
        if (frozen) {
            if (buffered.size() < BUFFERED_MESSAGES) {
                buffered.addLast(() -> receive(from, message));
            }
            return;
        }
        bytesReceived += message.size();
        if (publisher != null) {
            publisher.handle(from, message, clock());
            if (message instanceof Message.Report && net.observer != null) {
                net.observer.onReported(this);
            }
        } else {
            subscriber.handle(from, message, clock());
        }
        checkLimits();
        stepDownIfSuperseded();
        startTimer();
    }

    /** Turns a publisher that is fenced or behind back into a subscriber. */
    private void stepDownIfSuperseded() {
        if (publisher != null && publisher.state() != Publisher.State.ACTIVE) {
            publisher = null;
            startSubscriber();
        }
    }

    private void startSubscriber() {
        subscriber =
                new Subscriber(
                        id,
                        generation,
                        location,
                        net.candidates(this),
                        latest,
                        net.settings,
                        this,
                        clock());
    }

    @Override
    public Optional<String> apply(Change change) {
        Position before = inForce();
        if (!change.position().isAfter(before)) {
            net.violations.add(id + " was asked to go from " + before + " to " + change.position());
        }
        if (rejected.contains(change.position())) {
            net.violations.add(
                    id
                            + " was asked again in the same generation to apply rejected "
                            + change.position());
        }
        Optional<String> reason = rejectionReason.apply(change);
        if (reason.isPresent()) {
            rejected.add(change.position());
            return reason;
        }
        latest = Optional.of(change);
        if (isMember() && net.observer != null) {
            net.observer.onApplied(this, before, change.position());
        }
        return reason;
    }

    private void checkLimits() {
        if (subscriber == null) {
            return;
        }
        int inFlightBytes = subscriber.maxInFlightBytes();
        check(
                inFlightBytes <= net.settings.flow().windowBytes(),
                "has too many bytes in flight: " + inFlightBytes);
        check(
                subscriber.log().size() <= net.settings.limits().logChanges(),
                "retains too many changes");
        check(
                subscriber.downstreams() <= net.settings.limits().downstreams(),
                "has too many downstreams");
        check(
                subscriber.reorderBytes() <= net.settings.flow().windowBytes(),
                "buffers too many bytes for reordering");
        check(
                subscriber.assemblerBytes() <= net.settings.limits().changeBytes(),
                "buffers too many bytes of fragments");
    }

    private void check(boolean isWithinLimit, String violation) {
        if (!isWithinLimit) {
            net.violations.add(id + " " + violation);
        }
    }

    private long clock() {
        return net.events.now() + clockOffset;
    }

    private void startTimer() {
        long due = publisher != null ? publisher.nextTimer() : subscriber.nextTimer();
        if (due == Long.MAX_VALUE) {
            return;
        }
        long at = Math.max(net.events.now(), due - clockOffset);
        if (at < timerAt) {
            timerAt = at;
            long scheduledGeneration = generation;
            net.events.schedule(at - net.events.now(), () -> handleTimer(scheduledGeneration, at));
        }
    }

    private void handleTimer(long scheduledGeneration, long at) {
        if (!running || scheduledGeneration != generation || at != timerAt) {
            return;
        }
        timerAt = Long.MAX_VALUE;
        if (frozen) {
            buffered.addLast(this::fireTimers);
            return;
        }
        fireTimers();
    }

    private void fireTimers() {
        if (publisher != null) {
            publisher.fireTimers(clock());
        } else {
            subscriber.fireTimers(clock());
        }
        startTimer();
    }
}

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
    /** What the buffer of a socket holds while its process is frozen. */
    private static final int BUFFERED_MESSAGES = 4_000;

    private final PropagationNet net;

    /** Its name. */
    public final MemberId id;

    /** Where a member stands; empty at a control machine. */
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

    /** Why it rejects a change; by default it does not. */
    public Function<Change, Optional<String>> rejectionReason = change -> Optional.empty();

    SimulatedNode(
            PropagationNet net, MemberId id, Optional<MemberLocation> placement, String region) {
        this.net = net;
        this.id = id;
        this.location = placement;
        this.region = region;
    }

    /** Whether its process exists. */
    public boolean isRunning() {
        return running;
    }

    /** Whether its process is stopped and may go on later. */
    public boolean isFrozen() {
        return frozen;
    }

    /** Whether it is a member, not a control machine. */
    public boolean isMember() {
        return location.isPresent();
    }

    /** Its subscriber; null at a publisher. */
    public Subscriber subscriber() {
        return subscriber;
    }

    /** Its publisher; null at all other nodes. */
    public Publisher publisher() {
        return publisher;
    }

    /** What it has in force, or had when it ended. */
    public Position inForce() {
        return latest.map(Change::position).orElse(Position.NONE);
    }

    /** The body of what it has in force. */
    public Optional<byte[]> body() {
        return latest.map(Change::body);
    }

    /** Bytes of all messages it has sent. */
    public long bytesSent() {
        return bytesSent;
    }

    /** Bytes of all messages it has handled. */
    public long bytesReceived() {
        return bytesReceived;
    }

    /** Number of messages it has sent. */
    public long messagesSent() {
        return messagesSent;
    }

    /** How many nodes are subscribed to it. */
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

    /** Starts a process again, with the change that was in force last. */
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

    /** Starts a process again that has lost what was in force. */
    void startEmpty() {
        latest = Optional.empty();
        start();
    }

    /** Becomes the publisher of an epoch, continuing a log. */
    void startPublisher(long epoch, RetainedLog log, List<MemberLocation> members) {
        publisher =
                new Publisher(
                        epoch, log, net.candidates(this), members, net.settings, this, clock());
        subscriber = null;
        startTimer();
    }

    /** Publishes a change. */
    Position publish(byte[] body, boolean superseding) {
        Position position = publisher.publish(body, superseding, clock());
        startTimer();
        return position;
    }

    /** Ends the process. */
    void crash() {
        running = false;
    }

    /** Stops the process; messages are buffered until it goes on. */
    void freeze() {
        frozen = true;
    }

    /** Lets the process go on. */
    void thaw() {
        frozen = false;
        List<Runnable> waiting = new ArrayList<>(buffered);
        buffered.clear();
        waiting.forEach(each -> net.events.schedule(0, each));
    }

    /** Puts the node on one side of a partition. */
    void setPartition(int newPartition) {
        partition = newPartition;
    }

    /** Moves its clock. */
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

    /** A publisher that was superseded subscribes to the one that superseded it. */
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
            net.violations.add(id + " was to go from " + before + " to " + change.position());
        }
        if (rejected.contains(change.position())) {
            net.violations.add(id + " was asked twice in one generation for " + change.position());
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
        int onTheWay = subscriber.maxInFlightBytes();
        check(onTheWay <= net.settings.flow().windowBytes(), "has on the way " + onTheWay);
        check(
                subscriber.log().size() <= net.settings.limits().logChanges(),
                "keeps too many changes");
        check(
                subscriber.downstreams() <= net.settings.limits().downstreams(),
                "has too many children");
        check(subscriber.reorderBytes() <= net.settings.flow().windowBytes(), "reorders too much");
        check(
                subscriber.assemblerBytes() <= net.settings.limits().changeBytes(),
                "assembles too much");
    }

    private void check(boolean holds, String what) {
        if (!holds) {
            net.violations.add(id + " " + what);
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
            long startedAs = generation;
            net.events.schedule(at - net.events.now(), () -> handleTimer(startedAs, at));
        }
    }

    private void handleTimer(long startedAs, long at) {
        if (!running || startedAs != generation || at != timerAt) {
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

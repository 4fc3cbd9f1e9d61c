package cairnbridge.drill.simulated;

import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import cairnbridge.fleet.member.Message;
import cairnbridge.fleet.member.Packet;
import cairnbridge.fleet.membership.MembershipEvent;
import cairnbridge.fleet.membership.MembershipHost;
import cairnbridge.fleet.membership.SwimProtocol;
import cairnbridge.fleet.membership.SwimSettings;
import cairnbridge.simulation.EventQueue;
import cairnbridge.time.Ticks;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * A fleet's state machines on a net that is only computed: add members, break things, let time
 * pass, look at the views. Times are tenths of a millisecond; the same seed and the same calls give
 * the same course.
 */
public final class SimulatedNet {
    public static final long SECOND = Ticks.SECOND;
    private static final int STREAM_FRAME = 96;
    private static final long CALL_TIME_OUT = 2 * SECOND;

    /** What RFC 6298 has a sender wait for at first, and what it is on a short way. */
    private static final long SYN_AGAIN = SECOND;

    private static final long DATA_AGAIN = SECOND / 5;

    /** What a datagram costs beside its claims, as the carrier writes it. */
    private static final int DATAGRAM_FRAME = 110;

    /** Told of every change of standing in any view: who holds it, of whom, and what. */
    public interface Watcher {
        /** A node sees a member in another state. */
        void changed(
                Node holder,
                MemberState before,
                MemberState after,
                MembershipHost.StatusChangeReason why);
    }

    /** One process: its machine, whether it runs, and what it sent. */
    public final class Node implements MembershipHost {
        public final MemberId id;
        public final Endpoint at;
        public SwimProtocol machine;
        public boolean running;
        public boolean frozen;

        /** When it was last thawed. */
        public long thawedAt;

        public int side;
        public long bytes;
        public long datagrams;
        private final ArrayDeque<Runnable> kept = new ArrayDeque<>();
        private long armed = Long.MAX_VALUE;
        private long life;
        private long lastCall;

        Node(MemberId id, Endpoint at) {
            this.id = id;
            this.at = at;
        }

        /** The newest life this process has had. */
        public long life() {
            return life;
        }

        @Override
        public void send(Endpoint to, Packet packet) {
            long size =
                    DATAGRAM_FRAME
                            + packet.message().updates().stream()
                                    .mapToLong(MemberState::maxEncodedBytes)
                                    .sum();
            bytes += size;
            datagrams++;
            Node other = byPlace.get(to);
            if (other == null || isCut(this, other) || chance.nextDouble() < loss) {
                return;
            }
            arrive(other, new MembershipEvent.PacketReceived(packet), delay());
            if (doubled > 0 && chance.nextDouble() < doubled) {
                arrive(other, new MembershipEvent.PacketReceived(packet), delay() * 3);
            }
        }

        @Override
        public void call(long number, Endpoint to, Packet packet) {
            bytes += STREAM_FRAME + size(packet);
            lastCall = number;
            Node other = byPlace.get(to);
            boolean dead = other == null || !other.running;
            if (dead || other.frozen || isCut(this, other) || isCut(other, this)) {
                // A process that is gone refuses at once; one that says nothing is waited for.
                arrive(
                        this,
                        new MembershipEvent.CallCompleted(number, null),
                        dead ? 2 * delay() : CALL_TIME_OUT);
                return;
            }
            long caller = ++callers;
            open.put(caller, new Open(this, number, machine));
            arrive(
                    other,
                    new MembershipEvent.CallReceived(caller, packet),
                    2 * delay() + sentAgain(SYN_AGAIN));
            at(
                    agenda.now() + CALL_TIME_OUT,
                    () -> {
                        if (open.remove(caller) != null) {
                            arrive(this, new MembershipEvent.CallCompleted(number, null), 1);
                        }
                    });
        }

        @Override
        public void answer(long caller, Packet packet) {
            bytes += STREAM_FRAME + size(packet);
            Open asker = open.remove(caller);
            if (asker != null && asker.machine == asker.node.machine) {
                arrive(
                        asker.node,
                        new MembershipEvent.CallCompleted(asker.number, packet),
                        2 * delay() + sentAgain(DATA_AGAIN));
            }
        }

        @Override
        public void memberChanged(MemberState before, MemberState after, StatusChangeReason why) {
            if (watcher != null) {
                watcher.changed(this, before, after, why);
            }
        }

        @Override
        public void log(String line) {
            said.add(id + ": " + line);
        }

        private void arm() {
            long due = machine.nextTimer();
            if (due < armed) {
                armed = due;
                at(due, this::turn);
            }
        }

        private void turn() {
            armed = Long.MAX_VALUE;
            if (!running) {
                return;
            }
            if (frozen) {
                kept.addFirst(this::turn);
                return;
            }
            machine.fireTimers(agenda.now());
            arm();
        }
    }

    private record Open(Node node, long number, SwimProtocol machine) {}

    private final SwimSettings settings;
    private final RandomGenerator chance;
    private final EventQueue agenda;
    private final Map<Endpoint, Node> byPlace = new HashMap<>();
    private final List<Node> nodes = new ArrayList<>();
    private final Map<Long, Open> open = new HashMap<>();
    private final Set<List<MemberId>> oneWay = new HashSet<>();
    public final List<String> said = new ArrayList<>();
    public Watcher watcher;

    /** The part of datagrams that is lost, and that comes twice. */
    public double loss;

    public double doubled;

    private long callers;
    private long lives = 1_000;
    private final long seed;

    /** A net with an event queue of its own. */
    public SimulatedNet(SwimSettings settings, long seed) {
        this(settings, seed, new EventQueue(SECOND));
    }

    /** In a time that is others' as well. */
    public SimulatedNet(SwimSettings settings, long seed, EventQueue agenda) {
        this.agenda = agenda;
        this.settings = settings;
        this.seed = seed;
        chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    }

    /** The current simulated time. */
    public long now() {
        return agenda.now();
    }

    /** All nodes, also those that have ended. */
    public List<Node> nodes() {
        return nodes;
    }

    /** A new process at a place of its own; seeds are the places of others. */
    public Node add(String name, Node... seeds) {
        return add(name, ++lives, seeds);
    }

    /** With a life of one's choosing. */
    public Node add(String name, long life, Node... seeds) {
        Node node = place(name);
        start(node, life, seeds);
        return node;
    }

    private Node place(String name) {
        int number = nodes.size() + 1;
        Endpoint at =
                new Endpoint(
                        "10." + (number >> 16) + "." + (number >> 8 & 255) + "." + (number & 255),
                        7946);
        Node node = new Node(new MemberId(name), at);
        nodes.add(node);
        byPlace.put(at, node);
        return node;
    }

    /** Begins a new life of a process; also after a crash. */
    public void start(Node node, Node... seeds) {
        start(node, ++lives, seeds);
    }

    /** With a life of one's choosing, as a wrong clock would. */
    public void start(Node node, long life, Node... seeds) {
        begin(node, first(node, life), Arrays.stream(seeds).map(each -> each.at).toList());
    }

    /** What a process says of itself at its start. */
    private static MemberState first(Node node, long life) {
        MemberMetadata metadata =
                MemberMetadata.builder()
                        .location("a", "r")
                        .protocolVersion(2)
                        .clientAddress(node.at.toString())
                        .build();
        return MemberState.initial(node.id, node.at, life, metadata);
    }

    private void begin(Node node, MemberState self, List<Endpoint> seeds) {
        node.running = true;
        node.frozen = false;
        node.kept.clear();
        node.armed = Long.MAX_VALUE;
        node.life = self.incarnation().generation();
        node.machine =
                new SwimProtocol(
                        settings,
                        self,
                        SwimProtocol.Contacts.seeds(seeds),
                        seed * 31 + node.life,
                        agenda.now(),
                        node);
        node.machine.start(agenda.now());
        node.arm();
    }

    /**
     * Makes that many members who know one another already, as a fleet does some while after its
     * start. Where thousands join one by one, telling each of each takes longer than all that is to
     * be looked at.
     *
     * @param members two at least
     */
    public void addSettled(int members) {
        for (int i = 0; i < members; i++) {
            place("m" + i);
        }
        List<MemberState> all = nodes.stream().map(node -> first(node, ++lives)).toList();
        for (int i = 0; i < members; i++) {
            Node node = nodes.get(i);
            MemberState seed = all.get(i == 0 ? 1 : 0);
            begin(node, all.get(i), List.of(seed.endpoint()));
            // The answer that the call of its join waits for.
            tell(
                    node,
                    new MembershipEvent.CallCompleted(
                            node.lastCall,
                            new Packet(
                                    seed.id(),
                                    seed.endpoint(),
                                    seed.incarnation(),
                                    0,
                                    new Message.StateTransfer(List.of(), all))));
        }
    }

    /** Ends a node without notice. */
    public void crash(Node node) {
        node.running = false;
    }

    /** Has a node leave and then end. */
    public void leave(Node node) {
        node.machine.handle(agenda.now(), new MembershipEvent.LeaveRequested());
        at(agenda.now() + SECOND, () -> node.running = false);
    }

    /** What comes meanwhile is there when it is thawed. */
    public void freeze(Node node) {
        node.frozen = true;
    }

    /** Lets a frozen node go on. */
    public void thaw(Node node) {
        node.frozen = false;
        node.thawedAt = agenda.now();
        List<Runnable> waiting = new ArrayList<>(node.kept);
        node.kept.clear();
        waiting.forEach(each -> at(agenda.now(), each));
    }

    /** Only those on the same side hear one another; 0 for all heals. */
    public void side(Node node, int side) {
        node.side = side;
    }

    /** Ends all partitions. */
    public void heal() {
        nodes.forEach(node -> node.side = 0);
        oneWay.clear();
    }

    /** Nothing goes from one to another any more; the other way still works, but no stream. */
    public void cutOneWay(Node from, Node to) {
        oneWay.add(List.of(from.id, to.id));
    }

    /** Whether nothing gets from one to another. */
    public boolean isCut(Node from, Node to) {
        return from.side != to.side
                || !oneWay.isEmpty() && oneWay.contains(List.of(from.id, to.id));
    }

    /**
     * A stream loses nothing, but what is lost on its way comes later: the first try to connect a
     * second.
     */
    private long sentAgain(long wait) {
        long late = 0;
        for (long again = wait; chance.nextDouble() < 1 - (1 - loss) * (1 - loss); again *= 2) {
            late += again;
        }
        return late;
    }

    private long delay() {
        return 2 + chance.nextInt(18);
    }

    private static long size(Packet packet) {
        long digest = packet.message() instanceof Message.Digest ? 9L * 256 : 0;
        return digest
                + packet.message().updates().stream().mapToLong(MemberState::maxEncodedBytes).sum();
    }

    private void at(long due, Runnable what) {
        agenda.schedule(due - agenda.now(), what);
    }

    private void arrive(Node node, MembershipEvent event, long in) {
        SwimProtocol machine = node.machine;
        at(agenda.now() + in, () -> tell(node, machine, event));
    }

    private void tell(Node node, SwimProtocol machine, MembershipEvent event) {
        if (!node.running || node.machine != machine) {
            return;
        }
        if (node.frozen) {
            if (node.kept.size() < 4_000) { // As much as a socket's buffer holds.
                node.kept.addLast(() -> tell(node, machine, event));
            }
            return;
        }
        machine.handle(agenda.now(), event);
        node.arm();
    }

    /** Lets a span pass. */
    public void pass(long span) {
        agenda.runUntil(agenda.now() + span);
    }

    /** Tells a machine something, as its process would. */
    public void tell(Node node, MembershipEvent event) {
        node.machine.handle(agenda.now(), event);
        node.arm();
    }

    /** The nodes that run and are not frozen. */
    public List<Node> running() {
        return nodes.stream().filter(node -> node.running && !node.frozen).toList();
    }

    /**
     * Empty where all that run hold those that run as alive and all others as gone, not merely as
     * suspect; else what is wrong, in one line.
     */
    public String disagreement() {
        List<Node> running = running();
        Set<MemberId> there = new HashSet<>();
        running.forEach(node -> there.add(node.id));
        for (Node node : running) {
            for (Node other : nodes) {
                MemberState claim = node.machine.stateOf(other.id).orElse(null);
                boolean alive = claim != null && claim.status() == MemberStatus.ALIVE;
                boolean gone = claim == null || !claim.status().isLive();
                if (!(there.contains(other.id) ? alive : gone)) {
                    return node.id
                            + " holds "
                            + other.id
                            + " "
                            + (claim == null ? "unknown" : claim.status())
                            + (there.contains(other.id) ? ", it runs" : ", it does not run");
                }
            }
        }
        return "";
    }

    /**
     * Passes time until all agree, in steps; how long it took, or -1 where it did not come to that.
     */
    public long untilAgreed(long most, long step) {
        long from = agenda.now();
        while (!disagreement().isEmpty()) {
            if (agenda.now() - from >= most) {
                return -1;
            }
            pass(step);
        }
        return agenda.now() - from;
    }
}

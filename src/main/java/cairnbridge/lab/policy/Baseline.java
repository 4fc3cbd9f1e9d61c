package cairnbridge.lab.policy;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Event.NodeState;
import cairnbridge.decision.Host;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Settings;
import cairnbridge.decision.Settings.Category;
import cairnbridge.decision.Settings.Effect;
import cairnbridge.hash.SplitMix64;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Policies from the literature to measure against: they choose a cache, go to the origin on a miss,
 * push once more where a push never ran, and give up otherwise. They keep the rules on effects and
 * on drains, and know nothing of cold caches, of the origin's room or of time.
 */
final class Baseline implements Policy {
    private static final int POINTS = 128;
    private static final int MOST_PUSHES = 3;
    private static final double BOUND = 1.25;

    private static final class Op {
        final Event.RequestArrived arrived;
        int pushes;

        Op(Event.RequestArrived arrived) {
            this.arrived = arrived;
        }
    }

    private final Kind kind;
    private final Settings settings;
    private final Host host;
    private final RandomGenerator chance;
    private final TreeMap<Long, NodeId> ring = new TreeMap<>(Long::compareUnsigned);
    private final Map<NodeId, Integer> inFlight = new HashMap<>();
    private final Map<RequestId, Op> ops = new HashMap<>();
    private List<NodeId> caches = new ArrayList<>();
    private NodeId origin;
    private int all;

    Baseline(Kind kind, Settings settings, long seed, Host host) {
        this.kind = kind;
        this.settings = settings;
        this.host = host;
        chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    }

    @Override
    public void handle(long now, Event event) {
        if (event instanceof Event.EndpointListReceived roster) {
            roster.endpoints().forEach(this::listed);
        } else if (event instanceof Event.RequestArrived arrived) {
            ops.put(arrived.request(), new Op(arrived));
            first(ops.get(arrived.request()));
        } else if (event instanceof Event.AttemptEnded ended) {
            ended(ended);
        } else if (event instanceof Event.RequestCancelled dropped) {
            ops.remove(dropped.request());
        }
    }

    private void listed(Event.Endpoint entry) {
        if (entry.kind().equals(settings.origin().machineKind())) {
            origin = entry.node();
            return;
        }
        caches.remove(entry.node());
        ring.values().removeIf(entry.node()::equals);
        if (entry.state() == NodeState.READY) {
            caches.add(entry.node());
            for (int i = 0; i < POINTS; i++) {
                ring.put(SplitMix64.mix(entry.node().value(), i), entry.node());
            }
        }
    }

    private void first(Op op) {
        NodeId node = op.arrived.isWrite() ? origin : choose(op.arrived);
        push(op, node == null ? origin : node);
    }

    private NodeId choose(Event.RequestArrived op) {
        if (caches.isEmpty()) {
            return null;
        }
        long key = op.key() == null ? chance.nextLong() : SplitMix64.mix(op.key().value());
        return switch (kind) {
            case RANDOM -> any();
            case TWO -> {
                NodeId one = any();
                NodeId other = any();
                yield load(one) <= load(other) ? one : other;
            }
            default -> clockwise(key);
        };
    }

    private NodeId any() {
        return caches.get(chance.nextInt(caches.size()));
    }

    private int load(NodeId node) {
        return inFlight.getOrDefault(node, 0);
    }

    private NodeId clockwise(long key) {
        double bound =
                kind == Kind.BOUNDED
                        ? Math.ceil(BOUND * (all + 1) / caches.size())
                        : Double.MAX_VALUE;
        for (NodeId node : ring.tailMap(key, true).values()) {
            if (load(node) < bound) {
                return node;
            }
        }
        for (NodeId node : ring.headMap(key, false).values()) {
            if (load(node) < bound) {
                return node;
            }
        }
        return ring.firstEntry().getValue();
    }

    private void push(Op op, NodeId node) {
        if (node == null) {
            ops.remove(op.arrived.request());
            host.rejectRetryable(op.arrived.request(), 0);
            return;
        }
        op.pushes++;
        all++;
        inFlight.merge(node, 1, Integer::sum);
        host.sendAttempt(op.arrived.request(), node, 0, op.arrived.deadline());
    }

    private void ended(Event.AttemptEnded ended) {
        all--;
        inFlight.merge(ended.node(), -1, Integer::sum);
        Op op = ops.get(ended.request());
        if (op == null) {
            return;
        }
        Category category = settings.categories().get(op.arrived.category().value());
        boolean again = ended.outcome().provesNotExecuted || category.effect() == Effect.IDEMPOTENT;
        if (ended.outcome() == AttemptOutcome.SUCCESS || ended.isRequestOver()) {
            ops.remove(ended.request());
        } else if (ended.outcome() == AttemptOutcome.CACHE_MISS) {
            push(op, origin);
        } else if (again && op.pushes < MOST_PUSHES) {
            first(op);
        } else {
            ops.remove(ended.request());
            if (again) {
                host.rejectRetryable(ended.request(), 0);
            } else {
                host.failPermanently(ended.request());
            }
        }
    }
}

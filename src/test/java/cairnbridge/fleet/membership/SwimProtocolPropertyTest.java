package cairnbridge.fleet.membership;

import static cairnbridge.drill.simulated.SimulatedNet.SECOND;
import static org.junit.jupiter.api.Assertions.fail;

import cairnbridge.drill.simulated.SimulatedNet;
import cairnbridge.drill.simulated.SimulatedNet.Node;
import cairnbridge.fleet.member.Incarnation;
import cairnbridge.fleet.member.MemberId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;

/**
 * Checks invariants after random sequences of joins, crashes, freezes, partitions, packet loss and
 * heals. A failing run is reduced step by step to a shorter one that also fails, and printed with
 * its seed. -Dfleet.courses=N sets the number of runs.
 */
class SwimProtocolPropertyTest {
    private static final int RUNS = Integer.getInteger("fleet.courses", 60);
    private static final int STEPS_PER_RUN = 14;
    private static final int MAX_NODES = 14;
    private static final long FIRST_SEED = Long.getLong("fleet.seed", 1);

    /** What a step does to the simulated network. */
    enum Action {
        JOIN,
        CRASH,
        RESTART,
        LEAVE,
        FREEZE,
        THAW,
        CUT,
        ONE_WAY,
        HEAL,
        LOSS,
        PASS
    }

    /** One step of a random run; the action determines how the numbers are used. */
    record Step(Action action, int node, int value) {}

    @Test
    void viewsAgreeAfterHealingAndIncarnationsNeverDecrease() {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
            List<Step> steps = randomSteps(seed);
            String violation = run(seed, steps);
            if (!violation.isEmpty()) {
                fail("seed " + seed + ": " + shrink(seed, steps));
            }
        }
    }

    private static List<Step> randomSteps(long seed) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        List<Step> steps = new ArrayList<>();
        for (int i = 0; i < STEPS_PER_RUN; i++) {
            Action[] actions = Action.values();
            steps.add(
                    new Step(
                            actions[random.nextInt(actions.length)],
                            random.nextInt(1000),
                            random.nextInt(1000)));
            steps.add(new Step(Action.PASS, 0, random.nextInt(1000)));
        }
        return steps;
    }

    private static String shrink(long seed, List<Step> steps) {
        List<Step> remaining = new ArrayList<>(steps);
        for (int i = remaining.size() - 1; i >= 0; i--) {
            List<Step> without = new ArrayList<>(remaining);
            without.remove(i);
            if (!run(seed, without).isEmpty()) {
                remaining = without;
            }
        }
        return run(seed, remaining) + " after " + remaining;
    }

    private static String run(long seed, List<Step> steps) {
        SimulatedNet net = new SimulatedNet(SwimSettings.DEFAULT, seed);
        Map<List<MemberId>, Incarnation> latestIncarnations = new HashMap<>();
        List<String> decreases = new ArrayList<>();
        net.watcher =
                (observer, before, after, reason) -> {
                    if (after != null && before != null) {
                        Incarnation last =
                                latestIncarnations.put(
                                        List.of(observer.id, after.id()), after.incarnation());
                        if (last != null
                                && observer.machine != null
                                && last.compareTo(after.incarnation()) > 0) {
                            decreases.add(
                                    observer.id + " decreases the incarnation of " + after.id());
                        }
                    }
                };
        Node seedNode = net.add("p0");
        for (int i = 1; i < 6; i++) {
            net.add("p" + i, seedNode);
        }
        net.pass(5 * SECOND);
        for (Step step : steps) {
            perform(net, step, latestIncarnations);
        }
        net.heal();
        net.loss = 0;
        net.nodes().stream().filter(node -> node.frozen && node.running).forEach(net::thaw);
        if (net.untilAgreed(40 * SECOND, SECOND / 2) < 0) {
            return net.disagreement();
        }
        net.pass(15 * SECOND);
        return decreases.isEmpty() ? net.disagreement() : decreases.get(0);
    }

    private static void perform(
            SimulatedNet net, Step step, Map<List<MemberId>, Incarnation> latestIncarnations) {
        List<Node> running = net.running();
        Node runningNode = running.isEmpty() ? null : running.get(step.node % running.size());
        Node anyNode = net.nodes().get(step.node % net.nodes().size());
        Node first = net.nodes().get(0);
        switch (step.action) {
            case JOIN -> {
                if (net.nodes().size() < MAX_NODES && runningNode != null) {
                    // A running, reachable node is among the seeds; otherwise the new node could
                    // never be found.
                    Node node = net.add("p" + net.nodes().size(), first, runningNode);
                    net.side(node, runningNode.side);
                    net.pass(SECOND / 20);
                }
            }
            case CRASH -> {
                // The first node, a seed of all others, never crashes: without any seed, partitions
                // that never met could not find each other.
                if (runningNode != null && running.size() > 2 && runningNode != first) {
                    net.crash(runningNode);
                }
            }
            case RESTART -> {
                if (!anyNode.running && runningNode != null) {
                    net.side(anyNode, runningNode.side);
                    latestIncarnations.keySet().removeIf(pair -> pair.get(0).equals(anyNode.id));
                    net.start(anyNode, first, runningNode);
                    net.pass(SECOND / 20);
                }
            }
            case LEAVE -> {
                if (runningNode != null && running.size() > 3 && runningNode != first) {
                    net.leave(runningNode);
                }
            }
            case FREEZE -> {
                if (runningNode != null && running.size() > 2) {
                    net.freeze(runningNode);
                }
            }
            case THAW -> {
                if (anyNode.frozen && anyNode.running) {
                    net.thaw(anyNode);
                }
            }
            case CUT ->
                    net.nodes()
                            .forEach(
                                    node ->
                                            net.side(
                                                    node,
                                                    (node.id.name().hashCode() * 31 + step.value)
                                                            % (2 + step.node % 2)));
            case ONE_WAY -> {
                if (runningNode != null) {
                    net.cutOneWay(runningNode, anyNode);
                }
            }
            case HEAL -> net.heal();
            case LOSS -> net.loss = step.value % 4 * 0.1;
            default -> net.pass(step.value * SECOND / 100);
        }
    }
}

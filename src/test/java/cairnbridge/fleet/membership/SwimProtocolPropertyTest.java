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
 * What must hold after any course of joins, crashes, freezes, cuts, losses and heals. A course that
 * fails is made shorter, step by step, and printed with its seed. -Dfleet.courses=N plays more of
 * them.
 */
class SwimProtocolPropertyTest {
    private static final int RUNS = Integer.getInteger("fleet.courses", 60);
    private static final int STEPS_PER_RUN = 14;
    private static final int MAX_NODES = 14;
    private static final long FIRST_SEED = Long.getLong("fleet.seed", 1);

    /** What a step of a random run does. */
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

    /** One step of a random run. */
    record Step(Action action, int node, int value) {}

    @Test
    void viewsAgreeAfterHealingAndIncarnationsNeverDecrease() {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
            List<Step> course = randomSteps(seed);
            String wrong = run(seed, course);
            if (!wrong.isEmpty()) {
                fail("seed " + seed + ": " + shrink(seed, course));
            }
        }
    }

    private static List<Step> randomSteps(long seed) {
        RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        List<Step> course = new ArrayList<>();
        for (int i = 0; i < STEPS_PER_RUN; i++) {
            Action[] all = Action.values();
            course.add(
                    new Step(
                            all[chance.nextInt(all.length)],
                            chance.nextInt(1000),
                            chance.nextInt(1000)));
            course.add(new Step(Action.PASS, 0, chance.nextInt(1000)));
        }
        return course;
    }

    private static String shrink(long seed, List<Step> course) {
        List<Step> left = new ArrayList<>(course);
        for (int i = left.size() - 1; i >= 0; i--) {
            List<Step> without = new ArrayList<>(left);
            without.remove(i);
            if (!run(seed, without).isEmpty()) {
                left = without;
            }
        }
        return run(seed, left) + " after " + left;
    }

    private static String run(long seed, List<Step> course) {
        SimulatedNet net = new SimulatedNet(SwimSettings.DEFAULT, seed);
        Map<List<MemberId>, Incarnation> newest = new HashMap<>();
        List<String> back = new ArrayList<>();
        net.watcher =
                (holder, before, after, why) -> {
                    if (after != null && before != null) {
                        Incarnation last =
                                newest.put(List.of(holder.id, after.id()), after.incarnation());
                        if (last != null
                                && holder.machine != null
                                && last.compareTo(after.incarnation()) > 0) {
                            back.add(holder.id + " goes back on " + after.id());
                        }
                    }
                };
        Node seedNode = net.add("p0");
        for (int i = 1; i < 6; i++) {
            net.add("p" + i, seedNode);
        }
        net.pass(5 * SECOND);
        for (Step step : course) {
            perform(net, step, newest);
        }
        net.heal();
        net.loss = 0;
        net.nodes().stream().filter(node -> node.frozen && node.running).forEach(net::thaw);
        if (net.untilAgreed(40 * SECOND, SECOND / 2) < 0) {
            return net.disagreement();
        }
        net.pass(15 * SECOND);
        return back.isEmpty() ? net.disagreement() : back.get(0);
    }

    private static void perform(SimulatedNet net, Step step, Map<List<MemberId>, Incarnation> newest) {
        List<Node> running = net.running();
        Node who = running.isEmpty() ? null : running.get(step.node % running.size());
        Node any = net.nodes().get(step.node % net.nodes().size());
        Node first = net.nodes().get(0);
        switch (step.action) {
            case JOIN -> {
                if (net.nodes().size() < MAX_NODES && who != null) {
                    // One that runs and is within reach is among its seeds, else nobody could ever
                    // find it.
                    Node node = net.add("p" + net.nodes().size(), first, who);
                    net.side(node, who.side);
                    net.pass(SECOND / 20);
                }
            }
            case CRASH -> {
                // One seed outlives everything: with none, parts that never met could not find one
                // another.
                if (who != null && running.size() > 2 && who != first) {
                    net.crash(who);
                }
            }
            case RESTART -> {
                if (!any.running && who != null) {
                    net.side(any, who.side);
                    newest.keySet().removeIf(pair -> pair.get(0).equals(any.id));
                    net.start(any, first, who);
                    net.pass(SECOND / 20);
                }
            }
            case LEAVE -> {
                if (who != null && running.size() > 3 && who != first) {
                    net.leave(who);
                }
            }
            case FREEZE -> {
                if (who != null && running.size() > 2) {
                    net.freeze(who);
                }
            }
            case THAW -> {
                if (any.frozen && any.running) {
                    net.thaw(any);
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
                if (who != null) {
                    net.cutOneWay(who, any);
                }
            }
            case HEAL -> net.heal();
            case LOSS -> net.loss = step.value % 4 * 0.1;
            default -> net.pass(step.value * SECOND / 100);
        }
    }
}

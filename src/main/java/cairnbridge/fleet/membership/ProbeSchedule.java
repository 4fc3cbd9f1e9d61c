package cairnbridge.fleet.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/** The order in which members are probed: rounds in random order, each member once per round. */
final class ProbeSchedule {
    private final SwimContext context;
    private final List<MemberRecord> round = new ArrayList<>();
    private int position;

    ProbeSchedule(SwimContext context) {
        this.context = context;
    }

    /**
     * Adds a member at a random position in the rest of the round. Guards against a new member that
     * all others probe at the same time.
     */
    void add(MemberRecord member) {
        round.add(member);
        int last = round.size() - 1;
        Collections.swap(round, position + context.random.nextInt(last - position + 1), last);
    }

    /** The next live member to probe; empty if there is none. */
    Optional<MemberRecord> next() {
        for (int rounds = 0; rounds < 2; ) {
            if (position >= round.size()) {
                beginRound();
                rounds++;
                if (round.isEmpty()) {
                    return Optional.empty();
                }
            }
            MemberRecord member = round.get(position++);
            if (member.isLive() && context.table.contains(member)) {
                return Optional.of(member);
            }
        }
        return Optional.empty();
    }

    private void beginRound() {
        round.clear();
        round.addAll(context.table.live());
        Collections.shuffle(round, new Random(context.random.nextLong()));
        position = 0;
    }
}

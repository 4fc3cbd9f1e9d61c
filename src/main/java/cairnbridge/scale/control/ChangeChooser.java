package cairnbridge.scale.control;

import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Chooses what is done to whom. Kinds come in turn, each one's end after it, so that few changes
 * suffice to see all of them; who is struck is drawn.
 */
final class ChangeChooser {
    private static final List<ChangeKind> TURNS =
            List.of(
                    ChangeKind.KILL,
                    ChangeKind.START,
                    ChangeKind.LEAVE,
                    ChangeKind.START,
                    ChangeKind.FREEZE,
                    ChangeKind.THAW);

    /** One change; the members struck by an earlier one are those that a later one undoes. */
    record Choice(ChangeKind kind, int subject) {}

    private final RandomGenerator chance;
    private final int members;
    private int turn;
    private int struck;

    /** The first so many members, the seeds of the others, are never struck. */
    private final int spared;

    ChangeChooser(int members, int spared, long seed) {
        this.members = members;
        this.spared = spared;
        chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    }

    Choice next() {
        ChangeKind kind = TURNS.get(turn++ % TURNS.size());
        boolean undoes = kind == ChangeKind.START || kind == ChangeKind.THAW;
        if (!undoes) {
            struck = spared + chance.nextInt(members - spared);
        }
        return new Choice(kind, struck);
    }
}

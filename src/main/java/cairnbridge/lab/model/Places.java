package cairnbridge.lab.model;

import cairnbridge.simulation.EventQueue;
import java.util.ArrayDeque;

/**
 * So many requests at a time; those that come beyond wait in order, and leave unserved after a
 * span. Times in tenths of a millisecond.
 */
final class Places {
    private record Waiting(Runnable begin, Runnable leave, long until) {}

    private final EventQueue agenda;
    private final long patience;
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    private int free;
    private int busy;

    Places(EventQueue agenda, int many, long patience) {
        this.agenda = agenda;
        this.patience = patience;
        free = many;
    }

    int busy() {
        return busy;
    }

    /** From now on so many; those that are taken are given back as they end. */
    void resize(int many) {
        free = many - busy;
        next();
    }

    void take(Runnable begin, Runnable leave) {
        if (free > 0) {
            free--;
            busy++;
            begin.run();
            return;
        }
        Waiting mine = new Waiting(begin, leave, agenda.now() + patience);
        waiting.add(mine);
        agenda.schedule(
                patience,
                () -> {
                    if (waiting.remove(mine)) {
                        leave.run();
                    }
                });
    }

    void give() {
        busy--;
        free++;
        next();
    }

    private void next() {
        while (free > 0 && !waiting.isEmpty()) {
            free--;
            busy++;
            waiting.poll().begin().run();
        }
    }
}

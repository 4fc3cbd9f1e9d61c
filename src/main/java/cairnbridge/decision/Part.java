package cairnbridge.decision;

import java.util.ArrayDeque;

/** An actor of the router: it acts only on the notes put into its inbox. */
abstract class Part {
    final ArrayDeque<Note> inbox = new ArrayDeque<>(4);

    abstract void take(Note note);
}

package cairnbridge.decision;

import java.util.ArrayDeque;

/** An actor of the router: it acts only on the notes put into its inbox. */
abstract class RouterComponent {
    final ArrayDeque<RouterMessage> inbox = new ArrayDeque<>(4);

    abstract void take(RouterMessage note);
}

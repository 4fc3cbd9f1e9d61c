package cairnbridge.decision;

import cairnbridge.decision.Request.Attempt;
import cairnbridge.decision.Router.ServerNode;

/** What one part of the router tells another; the fields that a kind does not need are null. */
class RouterMessage {
    enum What {
        EVENT,
        BEAT,
        SUBSCRIBE,
        LISTED,
        HELD,
        MEMBERS,
        ASK,
        ADMITTED,
        GIVE_UP,
        EXPIRE,
        PLACE,
        OFFER,
        TAKE,
        SEND,
        SENT,
        BEGUN,
        VETOED,
        STUCK,
        IMPATIENT,
        ENDED,
        LOAD,
        RESTLESS,
        TOLD,
        GHOST_GONE,
        WANT,
        FORGET,
        FINISH,
        CALL_OFF,
        DOUBTED
    }

    final What what;
    final Request op;
    final ServerNode node;
    final Attempt push;
    final Event event;
    final long number;

    RouterMessage(What what, Request op, ServerNode node, Attempt push, Event event, long number) {
        this.what = what;
        this.op = op;
        this.node = node;
        this.push = push;
        this.event = event;
        this.number = number;
    }

    /** At the end of an op's time, with the advice for its client. */
    static RouterMessage expiry(Request op, long advice) {
        return new RouterMessage(What.EXPIRE, op, null, null, null, advice);
    }

    RouterMessage(What what, Request op) {
        this(what, op, null, null, null, 0);
    }

    RouterMessage(What what, long number) {
        this(what, null, null, null, null, number);
    }

    RouterMessage(What what, Event event) {
        this(what, null, null, null, event, 0);
    }
}

package cairnbridge.decision;

import cairnbridge.decision.Op.Push;
import cairnbridge.decision.Router.Node;

/** What one part of the router tells another; the fields that a kind does not need are null. */
class Note {
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
    final Op op;
    final Node node;
    final Push push;
    final Event event;
    final long number;

    Note(What what, Op op, Node node, Push push, Event event, long number) {
        this.what = what;
        this.op = op;
        this.node = node;
        this.push = push;
        this.event = event;
        this.number = number;
    }

    /** At the end of an op's time, with the advice for its client. */
    static Note expiry(Op op, long advice) {
        return new Note(What.EXPIRE, op, null, null, null, advice);
    }

    Note(What what, Op op) {
        this(what, op, null, null, null, 0);
    }

    Note(What what, long number) {
        this(what, null, null, null, null, number);
    }

    Note(What what, Event event) {
        this(what, null, null, null, event, 0);
    }
}

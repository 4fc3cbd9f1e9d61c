package cairnbridge.decision;

import cairnbridge.decision.Ids.CategoryId;
import cairnbridge.decision.Ids.CellId;
import cairnbridge.decision.Ids.KeyId;
import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.OpId;
import cairnbridge.decision.Ids.PeerId;
import cairnbridge.decision.Ids.TenantId;
import cairnbridge.decision.Ids.TimerId;
import cairnbridge.decision.Ids.ZoneId;
import java.util.List;

/**
 * Everything a router is told. Times are tenths of a millisecond; a report is null where none came.
 */
public sealed interface Event {
    /** A new op. key is null where it names none; work is 0 and size negative where not told. */
    record OpArrived(
            OpId op,
            CategoryId category,
            TenantId tenant,
            KeyId key,
            long expires,
            long work,
            long size,
            boolean clientRepeat,
            boolean write)
            implements Event {}

    /**
     * How one push ended; over is set once the op owes no answer any more. note: 1 hit, 2 or 3
     * miss.
     */
    record PushEnded(
            OpId op,
            int push,
            NodeId node,
            Ending ending,
            int note,
            long took,
            boolean over,
            double[] report)
            implements Event {}

    record StreamBegan(OpId op, int push, NodeId node, long took) implements Event {}

    /** The client went away; nothing is owed for the op any more. */
    record OpDropped(OpId op) implements Event {}

    record TimerFired(TimerId timer) implements Event {}

    record ProbeEnded(NodeId node, Ending ending, long took, double[] report) implements Event {}

    record PeerSaid(PeerId from, byte[] body) implements Event {}

    record Roster(Scope scope, long version, List<Entry> entries) implements Event {}

    /** Staff take a node out, or put it back, whatever the list says of it. */
    record Held(NodeId node, boolean on) implements Event {}

    /**
     * So many proxies live, by a view that they keep together; counts in place of the configured
     * number.
     */
    record Proxies(int count) implements Event {}

    /**
     * Most proxies of this one's zone cannot reach the node; a hint, which may only make it
     * distrusted sooner.
     */
    record Doubted(NodeId node) implements Event {}

    /** Where ops may go from now on, by a plan over zones. */
    record Placed(Placement placement) implements Event {}

    /** The proxy is to end: no op may be kept beyond this time, whatever its TTL. */
    record StopBy(long time) implements Event {}

    enum Scope {
        CACHED,
        FULL,
        CHANGES,
        FAILED
    }

    enum State {
        GONE,
        READY,
        DRAINING
    }

    /** started is the clock time of the last start, 0 where it was long ago. */
    record Entry(
            NodeId node,
            State state,
            MachineKind kind,
            double size,
            long started,
            CellId cell,
            ZoneId zone) {}

    /** The ways a push can end; neverRan tells which of them prove that the op did not run. */
    enum Ending {
        ACKED(false),
        ERROR(false),
        FULL(true),
        TIMED_OUT(false),
        NO_CONNECTION(true),
        BROKEN(false),
        CALLED_OFF(false),
        NEVER_SENT(true),
        MISS(true);

        public final boolean neverRan;

        /** No node had any work by it. */
        boolean reachedNobody() {
            return this == NO_CONNECTION || this == NEVER_SENT;
        }

        Ending(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }
}

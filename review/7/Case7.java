import java.io.IOException;
import java.io.OutputStream;

/** Writes with long bodies while the origin is slow: does each get its final answer in time? */
final class Case7 {
    private static final int WORK_MILLIS = 30;
    private static final int SLOWER = 7;
    private static final int SLOW_FROM_MILLIS = 5_000;
    private static final int SLOW_TO_MILLIS = 20_000;
    private static final int END_MILLIS = 25_000;
    private static final int WRITES_PER_SECOND = 10;

    /** One write in this many has a long body. */
    private static final int LONG_EVERY = 2;

    private static final int LONG_BYTES = 150_000;
    private static final int SHORT_BYTES = 200;
    private static final int TTL_MILLIS = 600;

    /** An answer that comes later than this after its TTL is lost; 50 ms are the sockets' slack. */
    private static final int LATE_MILLIS = 500 + 50;

    private Case7() {}

    /**
     * Does one piece of work after the other, as a machine with one core, and drops an op whose
     * time is over when its turn comes.
     */
    private static final class Origin extends Lib.Node {
        private final Lib.Record record;
        volatile int slower = 1;

        Origin(String uid, Lib.Record record) throws IOException {
            super(uid);
            this.record = record;
        }

        @Override
        void answer(Lib.Head head, byte[] body, OutputStream out) throws IOException {
            String id = head.header("x-trace-id");
            String told = head.header("x-expires-in");
            double overAt = record.millis() + millis(told);
            boolean over;
            synchronized (this) {
                over = record.millis() > overAt;
                Lib.sleep(over ? 0 : (long) WORK_MILLIS * slower);
            }
            record.line("%s: %s %s, which told %s", uid, over ? "drops" : "has run", id, told);
            out.write(
                    over
                            ? response(504, "X-Never-Ran: 1\r\n", "")
                            : response(200, "", "made for " + id));
        }

        /** The time that a request tells, in the protocol's form. */
        private static double millis(String told) {
            double number = Double.parseDouble(told.substring(0, told.length() - 1));
            return told.endsWith("u") ? number / 1000 : number;
        }
    }

    public static void main(String[] args) {
        Lib.play(args, Case7::play);
    }

    private static int play(Lib.Run run) throws Exception {
        Lib.Fleet<Origin> fleet = Lib.startFleet(run, uid -> new Origin(uid, run.record));
        Origin origin = fleet.origin();
        Lib.Proxy proxy = fleet.proxy();
        double start = run.record.millis();
        return Lib.playRequests(
                run,
                END_MILLIS * WRITES_PER_SECOND / 1000,
                i -> awaitTurn(run, origin, start, i * 1000 / WRITES_PER_SECOND),
                i -> isAnsweredInTime(run, proxy, i));
    }

    /** Waits until a write is due, and slows the origin or makes it usual again. */
    private static void awaitTurn(Lib.Run run, Origin origin, double start, int dueMillis) {
        Lib.sleep((long) (start + dueMillis - run.record.millis()));
        boolean slow = dueMillis >= SLOW_FROM_MILLIS && dueMillis < SLOW_TO_MILLIS;
        int slower = Lib.trouble() && slow ? SLOWER : 1;
        if (origin.slower != slower) {
            origin.slower = slower;
            run.record.line("%s: work takes %d times as long as usual", origin.uid, slower);
        }
    }

    private static boolean isAnsweredInTime(Lib.Run run, Lib.Proxy proxy, int number) {
        String id = String.format("7a%014x", number);
        int bytes = number % LONG_EVERY == 0 ? LONG_BYTES : SHORT_BYTES;
        double sentAt = run.record.millis();
        boolean answered = false;
        String answer;
        try (Lib.Client client = new Lib.Client(proxy.address)) {
            client.socket.setSoTimeout(20_000);
            String path = String.format("/loan-record/%016x", number);
            String length = "Content-Length: " + bytes + "\r\n";
            run.record.line("client: sends %s", id);
            client.send(Lib.Client.head("PUT", path, id, TTL_MILLIS, length) + "v".repeat(bytes));
            sentAt = run.record.millis();
            Lib.Head head = Lib.readHead(client.in);
            answered = head != null;
            answer = answered ? head.first : "no answer";
        } catch (IOException e) {
            answer = "no answer, " + e;
        }
        double took = run.record.millis() - sentAt;
        boolean inTime = answered && took <= TTL_MILLIS + LATE_MILLIS;
        run.record.line(
                "client: %s, body of %d bytes, last byte written at %.1f: %s after %.0f ms%s",
                id, bytes, sentAt, answer, took, inTime ? "" : " LOST");
        return inTime;
    }
}

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** An origin that turns some writes away, and says so twice: does an at-most-once op run twice? */
final class Case6 {
    /** The origin's queue is full for one request in this many. */
    private static final int FULL_EVERY = 5;

    private static final int LATE_MILLIS = 5;
    private static final int WORK_MILLIS = 15;
    private static final int WRITES = 150;

    private Case6() {}

    /** Runs each write that it does not turn away, and counts how often each has run. */
    private static final class Origin extends Lib.Node {
        final Map<String, Integer> runs = new ConcurrentHashMap<>();
        private final AtomicInteger requests = new AtomicInteger();
        private final Lib.Record record;

        Origin(String uid, Lib.Record record) throws IOException {
            super(uid);
            this.record = record;
        }

        @Override
        void answer(Lib.Head head, byte[] body, OutputStream out) throws IOException {
            String id = head.header("x-trace-id");
            if (requests.incrementAndGet() % FULL_EVERY != 0) {
                record.line("%s: runs %s, time %d", uid, id, runs.merge(id, 1, Integer::sum));
                Lib.sleep(WORK_MILLIS);
                write(out, response(200, "", "made for " + id));
                return;
            }
            byte[] turnedAway = response(503, "X-Never-Ran: 1\r\n", "");
            write(out, turnedAway);
            record.line("%s: its queue is full, turns %s away", uid, id);
            if (Lib.trouble()) {
                Lib.start("second answer", () -> answerAgain(out, turnedAway, id));
            }
        }

        private void answerAgain(OutputStream out, byte[] response, String id) {
            Lib.sleep(LATE_MILLIS);
            try {
                write(out, response);
                record.line("%s: turns %s away a second time, %d ms late", uid, id, LATE_MILLIS);
            } catch (IOException e) {
                record.line("%s: the connection of %s is closed", uid, id);
            }
        }

        private static void write(OutputStream out, byte[] response) throws IOException {
            synchronized (out) {
                out.write(response);
            }
        }
    }

    public static void main(String[] args) throws IOException {
        Lib.play(args, Case6::play);
    }

    private static int play(Lib.Run run) throws Exception {
        Lib.Discovery discovery = run.add(new Lib.Discovery());
        Origin origin = run.add(new Origin("s-origin", run.record));
        List<Origin> caches = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            caches.add(run.add(new Origin("s-cache" + i, run.record)));
        }
        discovery.set(Lib.ready(caches, origin));
        Lib.Proxy proxy = Lib.startProxy(run, discovery, "");
        int foreign = 0;
        try (Lib.Caller client = new Lib.Caller(proxy.address)) {
            for (int i = 0; i < WRITES; i++) {
                String id = String.format("6a%014x", i);
                String path = String.format("/loan-record/%016x", i);
                String head = Lib.Client.head("PUT", path, id, 900, "Content-Length: 5\r\n");
                int status = client.call(head + "value").status();
                run.record.line("client: %s answered %d '%s'", id, status, client.body);
                foreign += status == 200 && !client.body.equals("made for " + id) ? 1 : 0;
            }
        }
        Lib.sleep(500);
        long twice = origin.runs.values().stream().filter(times -> times > 1).count();
        run.record.line("%d of %d at-most-once ops ran more than once", twice, WRITES);
        run.record.line("%d answers were made for another op (not judged here)", foreign);
        return twice > 0 ? Lib.BROKEN : Lib.HELD;
    }
}

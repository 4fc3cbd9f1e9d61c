import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Discovery takes 2 s to answer a call: does the proxy stop sending to a node that drains? */
final class Case10 {
    private static final int ANSWER_MILLIS = 2000;

    /** When the list changes, counted from when the proxy is ready. */
    private static final int CHANGE_MILLIS = 3000;

    /** When the proxy counts as told, and how long it may go on then, with the sockets' slack. */
    private static final int TOLD_MILLIS = 6000;

    private static final int GRACE_MILLIS = 2500 + 50;

    private static final int END_MILLIS = 23_000;

    private Case10() {}

    private static final class SlowDiscovery extends Lib.Discovery {
        private final Lib.Record record;

        SlowDiscovery(Lib.Record record) throws IOException {
            this.record = record;
        }

        @Override
        void serve(Socket socket) throws IOException {
            record.line("discovery: a call begins");
            Lib.sleep(Lib.trouble() ? ANSWER_MILLIS : 0);
            record.line("discovery: answers a call, its list is %s", list());
            super.serve(socket);
        }
    }

    private static final class Cache extends Lib.Node {
        private final Lib.Record record;
        volatile double latestMillis;

        Cache(String uid, Lib.Record record) throws IOException {
            super(uid);
            this.record = record;
        }

        @Override
        void answer(Lib.Head head, byte[] body, OutputStream out) throws IOException {
            latestMillis = record.millis();
            String id = head.header("x-trace-id");
            record.line("%s: runs %s", uid, id);
            out.write(response(200, "X-Store: hit\r\n", "made for " + id));
        }
    }

    public static void main(String[] args) throws IOException {
        Lib.play(args, Case10::play);
    }

    private static int play(Lib.Run run) throws Exception {
        SlowDiscovery discovery = run.add(new SlowDiscovery(run.record));
        Cache origin = run.add(new Cache("s-origin", run.record));
        List<Cache> caches = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            caches.add(run.add(new Cache("s-cache" + i, run.record)));
        }
        List<String> entries = Lib.ready(caches, origin);
        discovery.set(entries);
        Lib.Proxy proxy = Lib.startProxy(run, discovery, "");
        Cache draining = caches.get(0);
        entries.set(
                0, Lib.Discovery.entry(draining.uid, draining.address(), "std-1", "Terminating"));
        double start = run.record.millis();
        double changed = 0;
        try (Lib.Caller client = new Lib.Caller(proxy.address)) {
            for (int i = 0; run.record.millis() - start < END_MILLIS; i++) {
                if (changed == 0 && run.record.millis() - start >= CHANGE_MILLIS) {
                    discovery.set(entries);
                    changed = run.record.millis();
                    run.record.line("discovery: has it that %s drains", draining.uid);
                }
                String id = String.format("aa%014x", i);
                String path = String.format("/sheet-view/%016x", i * 7919);
                int status = client.call(Lib.Client.head("GET", path, id, 480, "")).status();
                run.record.line("client: %s answered %d", id, status);
                Lib.sleep(20);
            }
        }
        double late = draining.latestMillis - changed;
        run.record.line("%s: latest send %.0f ms after the change", draining.uid, late);
        return late > TOLD_MILLIS + GRACE_MILLIS ? Lib.BROKEN : Lib.HELD;
    }
}

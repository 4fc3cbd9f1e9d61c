import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;

/** A list of large nodes, and one more that joins: does the proxy live on? */
final class Case9 {
    /** With the one that joins 3,200, as many as the pages name. */
    private static final int NODES = 3199;

    /** The registered size of each node. */
    private static final String SIZE = "4.0";

    private static final int JOIN_MILLIS = 3000;
    private static final int END_MILLIS = 10_000;

    private Case9() {}

    private static final class Cache extends Lib.Node {
        Cache(String uid) throws IOException {
            super(uid);
        }

        @Override
        void answer(Lib.Head head, byte[] body, OutputStream out) throws IOException {
            out.write(response(200, "", "made for " + head.header("x-trace-id")));
        }
    }

    public static void main(String[] args) throws IOException {
        Lib.play(args, Case9::play);
    }

    private static int play(Lib.Run run) throws Exception {
        Lib.Discovery discovery = run.add(new Lib.Discovery());
        Cache origin = run.add(new Cache("s-origin"));
        List<Cache> caches = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            caches.add(run.add(new Cache("s-cache" + i)));
        }
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            entries.add(entry(caches, i));
        }
        entries.add(Lib.Discovery.entry(origin.uid, origin.address(), "origin", "Ready"));
        discovery.set(entries);
        Lib.Proxy proxy = Lib.startProxy(run, discovery, "");
        double start = run.record.millis();
        boolean joined = !Lib.trouble();
        int lost = 0;
        for (int i = 0; run.record.millis() - start < END_MILLIS && proxy.process.isAlive(); i++) {
            if (!joined && run.record.millis() - start > JOIN_MILLIS) {
                joined = true;
                entries.add(entry(caches, NODES));
                discovery.set(entries);
                run.record.line("one more node joins");
            }
            String id = String.format("9a%014x", i);
            try (Lib.Caller client = new Lib.Caller(proxy.address)) {
                String path = "/sheet-view/" + id;
                int status = client.call(Lib.Client.head("GET", path, id, 480, "")).status();
                run.record.line("client: %s answered %d", id, status);
            } catch (IOException e) {
                run.record.line("client: %s not answered, %s", id, e);
                lost++;
            }
            Lib.sleep(50);
        }
        Lib.sleep(500);
        boolean alive = proxy.process.isAlive();
        run.record.line(
                "%d requests not answered; the proxy %s",
                lost, alive ? "lives" : "ended with status " + proxy.process.exitValue());
        return alive ? Lib.HELD : Lib.BROKEN;
    }

    private static String entry(List<Cache> caches, int number) {
        String address = caches.get(number % caches.size()).address();
        return Lib.Discovery.entry("s-" + number, address, "std-1", "Ready")
                .replace("\"capacity_hint\":1.0", "\"capacity_hint\":" + SIZE);
    }
}

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;

/** Clients that send much at once, stop in their heads and stay: does the proxy live on? */
final class Case8 {
    private static final int BAD_CLIENTS = 400;
    private static final int LINES = 16;
    private static final int LINE_BYTES = 4000;
    private static final int PLAY_MILLIS = 10_000;

    private Case8() {}

    private static final class Cache extends Lib.Node {
        Cache(String uid) throws IOException {
            super(uid);
        }

        @Override
        void answer(Lib.Head head, byte[] body, OutputStream out) throws IOException {
            out.write(response(200, "X-Store: hit\r\n", "made for " + head.header("x-trace-id")));
        }
    }

    public static void main(String[] args) throws IOException {
        Lib.play(args, Case8::play);
    }

    private static int play(Lib.Run run) throws Exception {
        Lib.Discovery discovery = run.add(new Lib.Discovery());
        Cache origin = run.add(new Cache("s-origin"));
        List<Cache> caches = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            caches.add(run.add(new Cache("s-cache" + i)));
        }
        discovery.set(Lib.ready(caches, origin));
        Lib.Proxy proxy = Lib.startProxy(run, discovery, "");
        if (Lib.trouble()) {
            sendBadHeads(run, proxy);
        }
        int lost = 0;
        double end = run.record.millis() + PLAY_MILLIS;
        for (int i = 0; run.record.millis() < end && proxy.process.isAlive(); i++) {
            String id = String.format("8a%014x", i);
            try (Lib.Caller client = new Lib.Caller(proxy.address)) {
                String path = "/sheet-view/7f3a9c21e0b4d655";
                int status = client.call(Lib.Client.head("GET", path, id, 480, "")).status();
                run.record.line("client: %s answered %d", id, status);
            } catch (IOException e) {
                run.record.line("client: %s not answered, %s", id, e);
                lost++;
            }
            Lib.sleep(50);
        }
        boolean alive = proxy.process.isAlive();
        run.record.line(
                "%d requests not answered; the proxy %s",
                lost, alive ? "lives" : "ended with status " + proxy.process.exitValue());
        return alive ? Lib.HELD : Lib.BROKEN;
    }

    /** Starts clients that each send the begin of a head, and wait for what comes. */
    private static void sendBadHeads(Lib.Run run, Lib.Proxy proxy) {
        StringBuilder head = new StringBuilder("GET /sheet-view/7f3a9c21e0b4d655 HTTP/1.1\r\n");
        for (int i = 0; i < LINES; i++) {
            String name = "X-Note-" + i + ": ";
            head.append(name).append("a".repeat(LINE_BYTES - name.length())).append("\r\n");
        }
        byte[] bytes = Lib.ascii(head.toString());
        run.record.line("%d bad clients send %d bytes each", BAD_CLIENTS, bytes.length);
        for (int i = 0; i < BAD_CLIENTS; i++) {
            int number = i;
            Lib.start(
                    "bad client",
                    () -> {
                        try (Lib.Client client = new Lib.Client(proxy.address)) {
                            client.socket.setSoTimeout(PLAY_MILLIS);
                            client.out.write(bytes);
                            run.record.line("bad client %d: read %d", number, client.in.read());
                        } catch (IOException e) {
                            run.record.line("bad client %d: %s", number, e);
                        }
                    });
        }
    }
}

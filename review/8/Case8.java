import java.io.IOException;

/** Clients that send much at once, stop in their heads and stay: does the proxy live on? */
final class Case8 {
    private static final int BAD_CLIENTS = 400;
    private static final int LINES = 16;
    private static final int LINE_BYTES = 4000;
    private static final int PLAY_MILLIS = 10_000;

    private Case8() {}

    public static void main(String[] args) {
        Lib.play(args, Case8::play);
    }

    private static int play(Lib.Run run) throws Exception {
        Lib.Proxy proxy = Lib.startFleet(run, uid -> new Lib.QuickNode(uid, run.record)).proxy();
        if (Lib.trouble()) {
            sendBadHeads(run, proxy);
        }
        return Lib.readUntil(run, proxy, PLAY_MILLIS, () -> {}) ? Lib.HELD : Lib.BROKEN;
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
            Lib.start("bad client", () -> sendAndStay(run, proxy, number, bytes));
        }
    }

    private static void sendAndStay(Lib.Run run, Lib.Proxy proxy, int number, byte[] bytes) {
        try (Lib.Client client = new Lib.Client(proxy.address)) {
            client.socket.setSoTimeout(PLAY_MILLIS);
            client.out.write(bytes);
            run.record.line("bad client %d: read %d", number, client.in.read());
        } catch (IOException e) {
            run.record.line("bad client %d: %s", number, e);
        }
    }
}

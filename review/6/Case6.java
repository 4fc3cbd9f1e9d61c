import java.io.IOException;
import java.io.OutputStream;

/** Clients that read long answers slowly: does each get its whole answer? */
final class Case6 {
    private static final int ANSWER_BYTES = 1_000_000;
    private static final int CLIENTS = 8;

    /** A slow client takes a piece of this size ten times a second: 70 kB; the pages say 64. */
    private static final int PIECE_BYTES = 7000;

    private static final int PIECE_MILLIS = 100;

    private static final int TTL_MILLIS = 600;

    private Case6() {}

    private static final class Cache extends Lib.Node {
        private final Lib.Record record;

        Cache(String uid, Lib.Record record) throws IOException {
            super(uid);
            this.record = record;
        }

        @Override
        void answer(Lib.Head head, byte[] body, OutputStream out) throws IOException {
            String id = head.header("x-trace-id");
            out.write(response(200, "X-Store: hit\r\n", "x".repeat(ANSWER_BYTES)));
            record.line("%s: has written its whole answer to %s", uid, id);
        }
    }

    public static void main(String[] args) {
        Lib.play(args, Case6::play);
    }

    private static int play(Lib.Run run) throws Exception {
        Lib.Proxy proxy = Lib.startFleet(run, uid -> new Cache(uid, run.record)).proxy();
        return Lib.playRequests(run, CLIENTS, i -> {}, i -> readWhole(run, proxy, i));
    }

    private static boolean readWhole(Lib.Run run, Lib.Proxy proxy, int number) {
        String id = String.format("6a%014x", number);
        int read = 0;
        try (Lib.Client client = new Lib.Client(proxy.address)) {
            client.socket.setSoTimeout(10_000);
            String path = "/sheet-view/" + id;
            run.record.line("client: sends %s", id);
            client.send(Lib.Client.head("GET", path, id, TTL_MILLIS, ""));
            Lib.Head head = client.readAnswer();
            run.record.line("client: %s, first bytes, %s", id, head.first);
            double start = run.record.millis();
            int pieces = 0;
            for (int bytes = -1; bytes != 0; read += bytes) {
                bytes = client.in.readNBytes(Math.min(PIECE_BYTES, ANSWER_BYTES - read)).length;
                pieces++;
                double due = start + pieces * (double) PIECE_MILLIS;
                Lib.sleep(Lib.trouble() ? (long) (due - run.record.millis()) : 0);
            }
        } catch (IOException e) {
            run.record.line("client: %s, %s", id, e);
        }
        boolean whole = read == ANSWER_BYTES;
        run.record.line(
                "client: %s has %d of %d bytes%s", id, read, ANSWER_BYTES, whole ? "" : " LOST");
        return whole;
    }
}

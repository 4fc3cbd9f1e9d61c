import java.io.IOException;
import java.io.OutputStream;

/** Answers of a cache node that never end: does each request get its final answer? */
final class Case10 {
    private static final int REQUESTS = 100;

    /** One request in this many gets an answer that never ends. */
    private static final int ENDLESS_EVERY = 10;

    private static final int PIECE_EVERY_MILLIS = 250;
    private static final int TTL_MILLIS = 500;

    /** An answer that comes later than this after its TTL is lost; 50 ms are the sockets' slack. */
    private static final int LATE_MILLIS = 500 + 50;

    /** How long a client looks on, which is longer than the rule asks. */
    private static final int WAIT_MILLIS = 10_000;

    private Case10() {}

    private static final class Cache extends Lib.Node {
        private final Lib.Record record;

        Cache(String uid, Lib.Record record) throws IOException {
            super(uid);
            this.record = record;
        }

        @Override
        void answer(Lib.Head head, byte[] body, OutputStream out) throws IOException {
            String id = head.header("x-trace-id");
            out.write(
                    Lib.ascii(
                            "HTTP/1.1 200 OK\r\nX-Store: hit\r\n"
                                    + "Transfer-Encoding: chunked\r\n\r\n"
                                    + Lib.Discovery.chunk("made for " + id)));
            boolean endless = Integer.parseInt(id.substring(2), 16) % ENDLESS_EVERY == 0;
            if (Lib.trouble() && endless) {
                record.line("%s: begins an answer to %s that never ends", uid, id);
                writeForEver(id, out);
            }
            out.write(Lib.ascii("0\r\n\r\n"));
        }

        private void writeForEver(String id, OutputStream out) throws IOException {
            try {
                while (true) {
                    Lib.sleep(PIECE_EVERY_MILLIS);
                    out.write(Lib.ascii(Lib.Discovery.chunk(" and more")));
                }
            } catch (IOException e) {
                record.line("%s: the connection of %s is closed", uid, id);
                throw e;
            }
        }
    }

    public static void main(String[] args) {
        Lib.play(args, Case10::play);
    }

    private static int play(Lib.Run run) throws Exception {
        Lib.Proxy proxy = Lib.startFleet(run, uid -> new Cache(uid, run.record)).proxy();
        return Lib.playRequests(
                run, REQUESTS, i -> Lib.sleep(50), i -> isAnsweredInTime(run, proxy, i));
    }

    /**
     * Whether a request has its final answer in time: a whole one, or one that the proxy breaks
     * off, so that its client can tell that it is not whole.
     */
    private static boolean isAnsweredInTime(Lib.Run run, Lib.Proxy proxy, int number) {
        String id = String.format("aa%014x", number);
        double sentAt = run.record.millis();
        String answer;
        try (Lib.Client client = new Lib.Client(proxy.address)) {
            run.record.line("client: sends %s", id);
            client.send(Lib.Client.head("GET", "/sheet-view/" + id, id, TTL_MILLIS, ""));
            sentAt = run.record.millis();
            Lib.start("patience", () -> giveUp(run, client));
            Lib.Head head = client.readAnswer();
            Lib.readBody(head, client.in);
            answer = head.first + ", whole";
        } catch (IOException e) {
            answer = "not whole, " + e;
        }
        double took = run.record.millis() - sentAt;
        boolean gaveUp = took >= WAIT_MILLIS;
        boolean inTime = took <= TTL_MILLIS + LATE_MILLIS;
        run.record.line(
                "client: %s %s after %.0f ms%s",
                id,
                gaveUp ? "has neither an end nor a break, and gives up" : answer,
                took,
                inTime ? "" : " LOST");
        return inTime;
    }

    private static void giveUp(Lib.Run run, Lib.Client client) {
        Lib.sleep(WAIT_MILLIS);
        try {
            client.close();
        } catch (IOException e) {
            run.record.line("client: %s", e);
        }
    }
}

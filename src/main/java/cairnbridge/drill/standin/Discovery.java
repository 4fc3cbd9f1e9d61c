package cairnbridge.drill.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.UnaryOperator;

/**
 * The agent of discovery beside one proxy: the whole list, and a watch that goes on; silent while
 * it is down.
 */
public final class Discovery extends Http {
    private static final long BEAT_MILLIS = 2000;
    private static final long LOOK_MILLIS = 50;
    private static final ObjectMapper JSON = new ObjectMapper();

    /** One server as the list has it; kind is cache or origin, state as on the wire. */
    public record Entry(
            String uid,
            String endpoint,
            String zone,
            String kind,
            String state,
            long began,
            long rev) {
        /** The entry in another state as of a revision. */
        public Entry is(String other, long at) {
            return new Entry(uid, endpoint, zone, kind, other, began, at);
        }
    }

    /** The list that all agents speak of; changes are numbered. */
    public static final class Roster {
        private final Map<String, Entry> entries = new LinkedHashMap<>();
        private long rev;

        /** Adds or replaces an entry. */
        public synchronized void put(Entry entry) {
            entries.put(entry.uid(), entry.is(entry.state(), ++rev));
        }

        /** Changes the state of an entry. */
        public synchronized void change(String uid, String state) {
            Entry entry = entries.get(uid);
            if (entry != null) {
                entries.put(uid, entry.is(state, ++rev));
            }
        }

        /** So many changes were never written down: numbers go back, what the list says stays. */
        public synchronized void back(int changes) {
            rev = Math.max(1, rev - changes);
            entries.replaceAll((uid, entry) -> entry.is(entry.state(), Math.min(rev, entry.rev())));
        }

        synchronized long rev() {
            return rev;
        }

        synchronized List<Entry> after(long seen) {
            List<Entry> changed = new ArrayList<>();
            entries.values().stream().filter(entry -> entry.rev() > seen).forEach(changed::add);
            return changed;
        }
    }

    private final Roster roster;
    private final UnaryOperator<Entry> seenBy;
    private volatile boolean down;
    public final LongAdder calls = new LongAdder();

    /**
     * seenBy: how an entry looks to this agent's proxy, which may reach a server at an address of
     * its own.
     */
    public Discovery(Roster roster, UnaryOperator<Entry> seenBy) throws IOException {
        this.roster = roster;
        this.seenBy = seenBy;
    }

    /** While it is down calls are refused with 503 and open watches say nothing. */
    public void down(boolean on) {
        down = on;
    }

    @Override
    void answer(HttpExchange exchange) throws IOException, InterruptedException {
        calls.increment();
        String query = exchange.getRequestURI().getQuery();
        if (down || !exchange.getRequestURI().getPath().equals("/api/targets")) {
            say(exchange, 503, "down".getBytes(StandardCharsets.US_ASCII));
        } else if (query == null || !query.contains("watch=1")) {
            say(exchange, 200, list(0, true).getBytes(StandardCharsets.UTF_8));
        } else {
            watch(exchange, query);
        }
    }

    private void watch(HttpExchange exchange, String query)
            throws IOException, InterruptedException {
        int at = query.indexOf("after=");
        long seen = at < 0 ? 0 : Long.parseLong(query.substring(at + 6).split("&")[0]);
        exchange.sendResponseHeaders(200, 0);
        OutputStream out = exchange.getResponseBody();
        boolean first = true;
        long said = 0;
        while (true) {
            long now = System.currentTimeMillis();
            if (down) {
                Thread.sleep(LOOK_MILLIS);
                continue;
            }
            long rev = roster.rev();
            if (first || rev > seen) {
                out.write((list(seen, seen == 0) + "\n").getBytes(StandardCharsets.UTF_8));
                out.flush();
                first = false;
                seen = rev;
                said = now;
            } else if (now - said >= BEAT_MILLIS) {
                out.write('\n');
                out.flush();
                said = now;
            }
            Thread.sleep(LOOK_MILLIS);
        }
    }

    /** Also what a proxy is given as the list it knows. */
    public String list(long after, boolean whole) {
        ObjectNode root = JSON.createObjectNode();
        root.put("rev", roster.rev());
        root.put("all", whole);
        ArrayNode targets = root.putArray("targets");
        for (Entry each : roster.after(after)) {
            Entry entry = seenBy.apply(each);
            if (whole && entry.state().equals("Gone")) {
                continue;
            }
            targets.addObject()
                    .put("uid", entry.uid())
                    .put("endpoint", entry.endpoint())
                    .put("az", entry.zone())
                    .put("model", entry.kind())
                    .put("pod_group", 0)
                    .put("state", entry.state())
                    .put("capacity_hint", 1.0)
                    .put("boot_ms", entry.began());
        }
        return root.toString();
    }
}

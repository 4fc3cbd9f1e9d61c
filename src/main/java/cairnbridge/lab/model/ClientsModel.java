package cairnbridge.lab.model;

import cairnbridge.decision.Ids.CategoryId;
import cairnbridge.drill.standin.Clients;
import cairnbridge.lab.model.ProxyModel.Answer;
import cairnbridge.simulation.EventQueue;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.HdrHistogram.Histogram;

/**
 * Clients that ask at an even rate whatever comes back, come again when they are refused, as
 * advised, and give up at their TTL; as the drill's. Keys are chosen by a seed, some far more often
 * than others.
 */
public final class ClientsModel {
    private static final long TTL = Clients.TTL_MILLIS * EventQueue.MILLI;
    private static final long SPARE = Clients.SPARE_MILLIS * EventQueue.MILLI;
    private static final long UNADVISED = Clients.UNADVISED_MILLIS * EventQueue.MILLI;
    private static final int READ = 0;
    private static final int WRITE = 1;

    /** What clients have counted. */
    public static final class Counts {
        private static final long LONGEST = 100 * EventQueue.SECOND;
        public long asked;
        public long served;
        public long refused;
        public long failed;
        public long lost;
        public long repeats;

        /** Of ops that were served, from the first try on, in tenths of a millisecond. */
        public final Histogram spans = new Histogram(LONGEST, 3);

        /** By the zone of the proxy: ops asked, and served. */
        public final Map<String, long[]> zones = new TreeMap<>();

        private long[] zone(String zone) {
            return zones.computeIfAbsent(zone, name -> new long[2]);
        }

        /** Requests that have ended, in whatever way. */
        public long ended() {
            return served + refused + failed + lost;
        }
    }

    /** One op, over all its tries. */
    private final class Asking {
        private final boolean write;
        private final long key;
        private final long began = agenda.now();
        private int tries;

        Asking(boolean write, long key) {
            this.write = write;
            this.key = key;
        }

        void ask(ProxyModel proxy) {
            long left = began + TTL - agenda.now();
            if (left <= 0) {
                counts.refused++;
                return;
            }
            tries++;
            boolean[] over = {false};
            agenda.schedule(
                    left + SPARE,
                    () -> {
                        if (!over[0]) {
                            over[0] = true;
                            counts.lost++;
                        }
                    });
            Request request = new Request(++traces[0], key, write);
            agenda.schedule(
                    net.span(zone, proxy.zone()),
                    () ->
                            proxy.arrives(
                                    request,
                                    new CategoryId(write ? WRITE : READ),
                                    left,
                                    tries > 1,
                                    answer ->
                                            agenda.schedule(
                                                    net.span(proxy.zone(), zone),
                                                    () -> {
                                                        if (!over[0]) {
                                                            over[0] = true;
                                                            answered(proxy, answer);
                                                        }
                                                    })));
        }

        private void answered(ProxyModel proxy, Answer answer) {
            switch (answer.status()) {
                case Answer.OK -> {
                    counts.served++;
                    counts.zone(proxy.zone())[1]++;
                    counts.spans.recordValue(Math.max(1, agenda.now() - began));
                }
                case Answer.NACKED -> {
                    if (tries >= Clients.MOST_TRIES) {
                        counts.refused++;
                    } else {
                        counts.repeats++;
                        long wait = answer.retryAfter() > 0 ? answer.retryAfter() : UNADVISED;
                        agenda.schedule(wait, () -> ask(proxy));
                    }
                }
                case Answer.BROKEN -> counts.lost++;
                default -> counts.failed++;
            }
        }
    }

    private final EventQueue agenda;
    private final Net net;
    private final RandomGenerator chance;
    private final Supplier<List<ProxyModel>> proxies;
    private final Keys keys;
    private final String zone;
    private final Counts counts;
    private final long[] traces;
    private final long began;
    private final double perSecond;
    private long asked;
    private boolean ended;

    /** traces: the last id given to a try, in one place; proxies: those that take clients now. */
    public ClientsModel(
            EventQueue agenda,
            Net net,
            RandomGenerator chance,
            Supplier<List<ProxyModel>> proxies,
            Keys keys,
            String zone,
            double perSecond,
            Counts counts,
            long[] traces) {
        this.agenda = agenda;
        this.net = net;
        this.chance = chance;
        this.proxies = proxies;
        this.keys = keys;
        this.zone = zone;
        this.perSecond = perSecond;
        this.counts = counts;
        this.traces = traces;
        began = agenda.now();
        next();
    }

    /** Sends no more requests. */
    public void end() {
        ended = true;
    }

    private void next() {
        if (ended) {
            return;
        }
        asked++;
        long due = began + (long) (asked * EventQueue.SECOND / perSecond);
        agenda.schedule(due - agenda.now(), this::next);
        List<ProxyModel> places = proxies.get();
        if (!places.isEmpty()) {
            counts.asked++;
            ProxyModel place = places.get(chance.nextInt(places.size()));
            counts.zone(place.zone())[0]++;
            boolean write = keys.writes(chance);
            new Asking(write, keys.next(chance)).ask(place);
        }
    }
}

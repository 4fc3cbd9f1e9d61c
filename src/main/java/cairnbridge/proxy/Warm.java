package cairnbridge.proxy;

import cairnbridge.admin.ProxyMetrics;
import cairnbridge.config.ProxyConfig;
import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Event.Endpoint;
import cairnbridge.decision.Event.ListScope;
import cairnbridge.decision.Event.NodeState;
import cairnbridge.decision.Ids.CellId;
import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.ZoneId;
import cairnbridge.decision.WarmStartState;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.http.message.BasicHttpRequest;

/**
 * Runs the whole path of an op some hundred times before the proxy says that it is ready, so that
 * the first clients do not pay for cold code. It has an owner and a module of its own: client and
 * cache are this proxy itself, over its own listener, told from real requests by a name that no
 * client can know.
 */
final class Warm {
    /**
     * The more proxies there are, the fewer ops one has to expect at once; others wait for the
     * start.
     */
    private static final int MOST_OPS = 1000;

    private static final int OPS_OF_ALL = 1500;
    private static final int LEAST_OPS = 100;
    private static final int LANES = 4;

    private static final long MOST_MILLIS = 2000;
    private static final byte[] VALUE = new byte[64];

    private final Sockets sockets;
    private final Listen listen;
    private final ProxyConfig config;
    private final Inbox inbox = new Inbox(8 * MOST_OPS);
    private final Map<String, Integer> seen = new ConcurrentHashMap<>();
    private final AtomicInteger left;
    private final CountDownLatch done = new CountDownLatch(LANES);
    private volatile boolean finished;
    private final String secret = "warm-" + Long.toHexString(System.nanoTime()) + "-";

    /** hurried: nobody serves meanwhile at the place where this proxy is to. */
    Warm(ProxyConfig config, Sockets sockets, Listen listen, boolean hurried) {
        int ops = OPS_OF_ALL / config.settings().proxies();
        left = new AtomicInteger(hurried ? Math.max(LEAST_OPS, Math.min(MOST_OPS, ops)) : MOST_OPS);
        this.config = config;
        this.sockets = sockets;
        this.listen = listen;
    }

    void run() throws IOException, InterruptedException {
        Decide decide =
                new Decide(
                        config,
                        inbox,
                        listen.clock,
                        sockets,
                        null,
                        WarmStartState.EMPTY,
                        new ProxyMetrics(config.names().categories()));
        Thread owner = new Thread(decide, "warm");
        owner.start();
        MachineKind origin = config.settings().originKind();
        // Guards against a rehearsal that reaches another process, which listens at the clients'
        // address too.
        Accept accept =
                sockets.accept(new InetSocketAddress(config.network().listen().getAddress(), 0));
        Thread accepting = new Thread(accept, "warm-accept");
        accepting.setDaemon(true);
        accepting.start();
        InetSocketAddress here = accept.address();
        NodeId cache = new NodeId(1);
        NodeId store = new NodeId(2);
        tell(
                List.of(entry(cache, new MachineKind(origin.value() + 1)), entry(store, origin)),
                Map.of(cache, here, store, here));
        listen.warm = this;
        for (int i = 0; i < LANES; i++) {
            new Lane(here).next();
        }
        done.await(MOST_MILLIS, TimeUnit.MILLISECONDS);
        left.set(0);
        finished = true;
        accept.stop();
        tell(List.of(), Map.of());
        decide.finish();
        owner.join();
    }

    private static Endpoint entry(NodeId node, MachineKind kind) {
        return new Endpoint(node, NodeState.READY, kind, 1, 0, new CellId(0), new ZoneId(0));
    }

    private void tell(List<Endpoint> entries, Map<NodeId, InetSocketAddress> addresses) {
        inbox.post(
                new Notice.Listed(
                        new Event.EndpointListReceived(ListScope.FULL, 1, entries), addresses));
    }

    boolean owns(String trace) {
        return trace.startsWith(secret);
    }

    /**
     * The first time an op comes from the client, then from its pushes: every fourth is missed
     * once.
     */
    void take(Exchange exchange, long expires) {
        // Guards against a late one being taken for a client's: no cache may ever see it.
        int sight = finished ? 0 : seen.merge(exchange.trace, 1, Integer::sum);
        if (sight == 0) {
            exchange.nack(1);
        } else if (sight == 2 && !exchange.write && kind(exchange.trace) == 1) {
            exchange.miss();
        } else if (sight == 1) {
            inbox.post(new Notice.Arrived(exchange, expires));
        } else {
            exchange.ack(VALUE);
        }
    }

    /** Misses and writes run other ways through the module: a quarter of the ops each. */
    private static int kind(String trace) {
        return trace.charAt(trace.length() - 1) % 4;
    }

    /** One client, with one op at a time. */
    private final class Lane {
        private final InetSocketAddress here;
        private Ask latest;

        Lane(InetSocketAddress here) {
            this.here = here;
        }

        void next() {
            int number = left.getAndDecrement();
            Ask ask = number > 0 ? new Ask(number) : null;
            Connection kept = latest == null ? null : latest.connection;
            if (ask == null) {
                end();
                return;
            }
            latest = ask;
            if (kept != null && kept.isOpen()) {
                kept.send(ask);
            } else {
                sockets.dial(here, config.network().connectTimeout(), ask);
            }
        }

        private void end() {
            done.countDown();
            if (latest != null) {
                latest.connection.close();
            }
        }

        private final class Ask extends Get {
            private final String trace;

            Ask(int number) {
                super(
                        here,
                        "/"
                                + config.names().categories().get(0)
                                + "/"
                                + Integer.toHexString(number));
                trace = secret + number;
                if (kind(trace) == 2) {
                    writes(VALUE);
                }
            }

            @Override
            void dress(BasicHttpRequest request) {
                request.addHeader(Exchange.ID, trace);
                request.addHeader(Exchange.TTL, MOST_MILLIS + "m");
            }

            @Override
            void begun(int code) {
                // Whatever the answer, its path has been run.
            }

            @Override
            void line(String text) {
                // The value says nothing.
            }

            @Override
            void over(AttemptOutcome how) {
                if (how == AttemptOutcome.SUCCESS) {
                    next();
                } else {
                    end();
                }
            }
        }
    }
}

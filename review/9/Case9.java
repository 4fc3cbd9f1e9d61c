import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A list of large nodes, and one more that joins: does the proxy live on? */
final class Case9 {
    /** With the one that joins 3,200, as many as the pages name. */
    private static final int NODES = 3199;

    /** The registered size of each node. */
    private static final double SIZE = 4.0;

    private static final int JOIN_MILLIS = 3000;
    private static final int PLAY_MILLIS = 10_000;

    private Case9() {}

    public static void main(String[] args) {
        Lib.play(args, Case9::play);
    }

    private static int play(Lib.Run run) throws Exception {
        Lib.Discovery discovery = run.add(new Lib.Discovery());
        Lib.Node origin = run.add(new Lib.QuickNode("s-origin", run.record));
        Lib.ManyCaches caches = run.add(new Lib.ManyCaches(NODES + 1, run.record));
        List<String> entries = new ArrayList<>();
        entries.add(Lib.originEntry(origin));
        for (int i = 0; i < NODES; i++) {
            entries.add(entry(caches, i));
        }
        discovery.set(entries);
        Lib.Proxy proxy = Lib.startProxy(run, discovery);
        double joinAt = run.record.millis() + JOIN_MILLIS;
        Runnable join =
                () -> {
                    boolean due = Lib.trouble() && run.record.millis() >= joinAt;
                    if (due && entries.size() == 1 + NODES) {
                        entries.add(entry(caches, NODES));
                        discovery.set(entries);
                        run.record.line("one more node joins");
                    }
                };
        return Lib.readUntil(run, proxy, PLAY_MILLIS, join) ? Lib.HELD : Lib.BROKEN;
    }

    private static String entry(Lib.ManyCaches caches, int number) {
        return Lib.Discovery.entry("s-cache" + number, caches.address(number), "std-1", SIZE);
    }
}

package cairnbridge.lab.policy;

import cairnbridge.decision.Event;
import cairnbridge.decision.Host;
import cairnbridge.decision.Router;
import cairnbridge.decision.Settings;
import cairnbridge.decision.WarmStartState;
import java.util.Locale;

/** What decides at one proxy: told of events, it acts on its host before it returns. */
public interface Policy {
    /** Handles one event. */
    void handle(long now, Event event);

    /** What one that takes its place may start with. */
    default WarmStartState learnt() {
        return WarmStartState.EMPTY;
    }

    /** Makes one for a proxy that starts now. */
    interface Maker {
        /** A policy of one proxy. */
        Policy make(Settings settings, long seed, long now, Host host, WarmStartState before);
    }

    /** The policies that a run may name. */
    enum Kind implements Maker {
        /** The program's own. */
        ROUTER,
        /** Any ready node, by chance. */
        RANDOM,
        /**
         * Of two nodes by chance the one with less of this proxy's in flight (Mitzenmacher 2001).
         */
        TWO,
        /** The first ready node clockwise of the key (Karger et al. 1997). */
        RING,
        /**
         * The first of those with room under a bound of one and a quarter of the mean (Mirrokni et
         * al. 2018).
         */
        BOUNDED;

        /** Its name in files and options. */
        public String word() {
            return name().toLowerCase(Locale.ROOT);
        }

        @Override
        public Policy make(
                Settings settings, long seed, long now, Host host, WarmStartState before) {
            if (this == ROUTER) {
                Router router = new Router(settings, seed, now, host, before);
                return new Policy() {
                    @Override
                    public void handle(long clock, Event event) {
                        router.handle(clock, event);
                    }

                    @Override
                    public WarmStartState learnt() {
                        return router.warmStartState();
                    }
                };
            }
            return new Baseline(this, settings, seed, host);
        }
    }
}

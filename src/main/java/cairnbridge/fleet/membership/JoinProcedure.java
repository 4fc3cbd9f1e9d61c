package cairnbridge.fleet.membership;

import cairnbridge.fleet.member.Endpoint;
import cairnbridge.time.Ticks;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Finds the fleet: calls seeds, and members of an earlier run, until one has answered. */
final class JoinProcedure {
    /** Between two calls, on average. */
    private static final long RETRY_INTERVAL = Ticks.SECOND;

    /** Seeds that are not in the view are called after this time at first, ... */
    private static final long FIRST_SEED_CHECK = Ticks.SECOND / 2;

    /** ... and at this interval at last. */
    private static final long MAX_SEED_CHECK_INTERVAL = 5 * Ticks.SECOND;

    private final SwimContext context;
    private final AntiEntropy antiEntropy;
    private final List<Endpoint> seeds;
    private final List<Endpoint> remembered;

    /** The live member that was last found at a seed's endpoint. */
    private final Map<Endpoint, MemberRecord> memberAtSeed = new HashMap<>();

    private int calls;

    /**
     * A procedure for these contacts.
     *
     * @param remembered members of an earlier run of the process, called after the seeds
     */
    JoinProcedure(
            SwimContext context,
            AntiEntropy antiEntropy,
            List<Endpoint> seeds,
            List<Endpoint> remembered) {
        this.context = context;
        this.antiEntropy = antiEntropy;
        this.seeds = withoutSelf(seeds);
        this.remembered = withoutSelf(remembered);
    }

    private List<Endpoint> withoutSelf(List<Endpoint> endpoints) {
        Endpoint own = context.self.state().endpoint();
        return endpoints.stream().filter(endpoint -> !endpoint.equals(own)).toList();
    }

    void start() {
        antiEntropy.start(seeds.isEmpty() && remembered.isEmpty());
        join();
        antiEntropy.startPeriodicComparisons();
        scheduleSeedCheck(FIRST_SEED_CHECK);
        antiEntropy.startJoinComparisons();
    }

    /** Calls one contact after another; at random times, as a fleet may start all at once. */
    private void join() {
        if (antiEntropy.hasJoined()) {
            return;
        }
        antiEntropy.compareWith(nextContact());
        context.schedule(RETRY_INTERVAL / 2 + context.random.nextLong(RETRY_INTERVAL), this::join);
    }

    /**
     * Each seed once, then every second time a remembered member: guards against a fleet whose
     * seeds are gone.
     */
    private Endpoint nextContact() {
        boolean seedsTried = calls >= seeds.size();
        boolean useRemembered =
                !remembered.isEmpty() && (seeds.isEmpty() || (seedsTried && calls % 2 == 0));
        List<Endpoint> contacts = useRemembered ? remembered : seeds;
        long generation = context.self.state().incarnation().generation();
        int turn = calls++ + Math.floorMod(generation, contacts.size());
        return contacts.get(Math.floorMod(useRemembered ? turn / 2 : turn, contacts.size()));
    }

    /**
     * Guards against a fleet whose parts have forgotten one another, and against one that starts at
     * once and falls into parts, as the first seed that answers knew nobody itself: seeds that are
     * not in the view are called, soon at first.
     */
    private void scheduleSeedCheck(long delay) {
        context.schedule(
                delay + context.random.nextLong(delay),
                () -> {
                    callMissingSeed();
                    scheduleSeedCheck(Math.min(2 * delay, MAX_SEED_CHECK_INTERVAL));
                });
    }

    private void callMissingSeed() {
        List<Endpoint> missing = seeds.stream().filter(seed -> !isLive(seed)).toList();
        if (!missing.isEmpty() && antiEntropy.hasJoined()) {
            antiEntropy.compareWith(missing.get(context.random.nextInt(missing.size())));
        }
    }

    /** Searches the table only if the member that was there last is not there any more. */
    private boolean isLive(Endpoint seed) {
        MemberRecord known = memberAtSeed.get(seed);
        if (known != null && context.table.contains(known) && isAt(known, seed)) {
            return true;
        }
        MemberRecord found =
                context.table.live().stream()
                        .filter(member -> isAt(member, seed))
                        .findFirst()
                        .orElse(null);
        memberAtSeed.put(seed, found);
        return found != null;
    }

    private static boolean isAt(MemberRecord member, Endpoint endpoint) {
        return member.isLive() && member.state.endpoint().equals(endpoint);
    }
}

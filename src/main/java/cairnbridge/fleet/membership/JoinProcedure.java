package cairnbridge.fleet.membership;

import cairnbridge.fleet.member.Endpoint;
import cairnbridge.time.Ticks;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Joins the fleet: calls the seeds, and members known from an earlier run, until one answers. Later
 * it calls seeds that are missing from the view.
 */
final class JoinProcedure {
    /** Mean time between two join calls. */
    private static final long RETRY_INTERVAL = Ticks.SECOND;

    /**
     * Base delay of the first check for seeds that are missing from the view; doubles with each
     * check.
     */
    private static final long FIRST_SEED_CHECK = Ticks.SECOND / 2;

    /** Upper bound of the base delay between checks for missing seeds. */
    private static final long MAX_SEED_CHECK_INTERVAL = 5 * Ticks.SECOND;

    private final SwimContext context;
    private final AntiEntropy antiEntropy;
    private final List<Endpoint> seeds;
    private final List<Endpoint> remembered;

    /** The live member last found at the endpoint of a seed; null if none was found. */
    private final Map<Endpoint, MemberRecord> memberAtSeed = new HashMap<>();

    private int callCount;

    /**
     * Creates a procedure for these contacts.
     *
     * @param remembered members known from an earlier run of the process, called after the seeds
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

    /**
     * Calls one contact after another, at random intervals because a whole fleet may start at once.
     */
    private void join() {
        if (antiEntropy.hasJoined()) {
            return;
        }
        antiEntropy.compareWith(nextContact());
        context.schedule(RETRY_INTERVAL / 2 + context.random.nextLong(RETRY_INTERVAL), this::join);
    }

    /**
     * Returns each seed once, then alternates between remembered members and seeds. Guards against
     * a fleet whose seeds no longer exist.
     */
    private Endpoint nextContact() {
        boolean seedsTried = callCount >= seeds.size();
        boolean useRemembered =
                !remembered.isEmpty() && (seeds.isEmpty() || (seedsTried && callCount % 2 == 0));
        List<Endpoint> contacts = useRemembered ? remembered : seeds;
        long generation = context.self.state().incarnation().generation();
        int callIndex = callCount++ + Math.floorMod(generation, contacts.size());
        return contacts.get(
                Math.floorMod(useRemembered ? callIndex / 2 : callIndex, contacts.size()));
    }

    /**
     * Calls seeds that are missing from the view, more often at first. Guards against partitions
     * that have forgotten each other, and against a fleet that starts all at once and splits
     * because the first seed to answer knew no other member.
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

    /** Searches the table only if the member last found at the seed is no longer there. */
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

package cairnbridge.decision;

import cairnbridge.decision.RecordedRouter.Condition;
import cairnbridge.decision.RecordedRouter.Listed;
import cairnbridge.decision.RecordedRouter.Listing;
import cairnbridge.decision.RecordedSettings.Shape;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/**
 * The nodes of a recorded run: what lists say of them, who holds them and where requests may go.
 */
final class WorkloadNodes {
    private static final int CACHES = 14;
    private static final int STORES = 2;
    private static final int SLOW = 9;
    private static final long FIRST_STORE = 900;

    private final Shape shape;
    private final Random random;
    private final RecordedRouter router;

    /** By place: the caches first, then the nodes of the shared store. */
    private final Condition[] conditions = new Condition[CACHES + STORES];

    private final double[] sizes = new double[CACHES + STORES];
    private final long[] starts = new long[CACHES + STORES];
    private final boolean[] held = new boolean[CACHES + STORES];
    private boolean nowhere;

    /** All nodes are ready, and started long ago. */
    WorkloadNodes(Shape shape, Random random, RecordedRouter router) {
        this.shape = shape;
        this.random = random;
        this.router = router;
        Arrays.fill(conditions, Condition.READY);
        Arrays.fill(sizes, 1);
    }

    /** Whether this is a node of the shared store. */
    static boolean isStore(long node) {
        return node >= FIRST_STORE;
    }

    /** Whether this is a node of the slower machine kind. */
    static boolean isSlow(long node) {
        return node > SLOW && !isStore(node);
    }

    /** A node that is listed now or was, or now and then one that never is. */
    long any() {
        return id(random.nextInt(CACHES + STORES + 1));
    }

    /** Tells all nodes but those that are gone. */
    void listsAll(Listing listing) {
        List<Listed> all = new ArrayList<>();
        for (int place = 0; place < conditions.length; place++) {
            if (conditions[place] != Condition.GONE) {
                all.add(listed(place));
            }
        }
        router.lists(listing, all);
    }

    /** Something happens to the nodes, or to the list of them. */
    void change() {
        int dice = random.nextInt(20);
        if (dice < 10) {
            changes();
        } else if (dice < 13) {
            holds();
        } else if (dice < 15) {
            listsAll(random.nextInt(3) == 0 ? Listing.CACHED : Listing.FULL);
        } else if (dice < 17) {
            router.lists(Listing.FAILED, List.of());
        } else {
            Listing[] listings = {Listing.CACHED, Listing.FULL, Listing.CHANGES};
            router.lists(listings[random.nextInt(3)], List.of());
        }
    }

    /** A plan over zones; one that sends requests nowhere gives way to none soon. */
    void placement() {
        int dice = random.nextInt(4);
        if (nowhere || dice == 0) {
            nowhere = false;
            router.placesAnywhere();
        } else if (dice == 1) {
            nowhere = true;
            router.placesNowhere();
        } else {
            router.placesByZone(random.nextInt(shape.zones()), shape.zones());
        }
    }

    private void changes() {
        List<Listed> changed = new ArrayList<>();
        for (int i = random.nextInt(3); i >= 0; i--) {
            int place = random.nextInt(conditions.length);
            changesOne(place);
            changed.add(listed(place));
        }
        router.lists(Listing.CHANGES, changed);
    }

    /**
     * What is away comes back, most often cold; a ready node goes, drains, restarts or changes
     * size.
     */
    private void changesOne(int place) {
        int dice = random.nextInt(6);
        boolean away = conditions[place] != Condition.READY;
        if (away || dice >= 4) {
            conditions[place] = away && dice == 0 ? Condition.GONE : Condition.READY;
            starts[place] = dice == 5 ? starts[place] : router.host().clock();
        } else if (dice < 2) {
            conditions[place] = dice == 0 ? Condition.GONE : Condition.DRAINING;
        } else {
            sizes[place] = random.nextInt(9) / 4.0;
        }
    }

    private void holds() {
        int place = random.nextInt(conditions.length);
        for (int i = 0; i < conditions.length; i++) {
            place = held[i] && random.nextInt(2) == 0 ? i : place;
        }
        held[place] = !held[place];
        router.holds(id(place), held[place]);
    }

    private Listed listed(int place) {
        boolean store = place >= CACHES;
        long node = id(place);
        int kind = store ? RecordedSettings.STORE_KIND : isSlow(node) ? 1 : 0;
        int zone = place % shape.zones();
        return new Listed(
                node, conditions[place], kind, sizes[place], starts[place], place % 4, zone);
    }

    private static long id(int place) {
        return place >= CACHES ? FIRST_STORE + place - CACHES : 1 + place;
    }
}

package cairnbridge.scale.router;

import cairnbridge.scale.MeasurementWriter;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Adds up what all proxies of a fleet send to the nodes. Every push takes as long, so no proxy
 * feels another, and they are driven one after another; all figures hang on the seed alone.
 */
public final class FleetLoad {
    private static final double WARM_UP_SECONDS = 1;

    /** Part of the measured time that is sampled; arrivals at random end earlier or later. */
    private static final double SAMPLED_PART = 0.8;

    private static final long SEEDS_APART = 1_000_003;

    private final MeasurementWriter writer;

    /** Writes its measurements to a writer. */
    public FleetLoad(MeasurementWriter writer) {
        this.writer = writer;
    }

    /**
     * Each size with as many proxies as the load tells its router of, for some simulated seconds.
     */
    public void measure(List<RouterLoad> sizes, double seconds) throws IOException {
        for (RouterLoad size : sizes) {
            Map<String, Object> settings = new LinkedHashMap<>(RouterScale.settings(size, 1));
            settings.remove("requests");
            settings.put("seconds", seconds);
            writer.write("router-fleet", settings, figures(size, seconds));
        }
    }

    static Map<String, Double> figures(RouterLoad load, double seconds) {
        int[] homes = KeyHomes.of(load);
        int samples =
                Math.max(
                        1,
                        (int) (SAMPLED_PART * seconds * RouterLoad.SECOND / NodeSamples.INTERVAL));
        NodeSamples nodes = new NodeSamples(load.nodes(), samples);
        long requests = 0;
        long atHome = 0;
        long movedFromBusyHome = 0;
        for (int proxy = 1; proxy <= load.proxies(); proxy++) {
            RouterLoad mine = load.withSeed(load.seed() * SEEDS_APART + proxy);
            RouterDrive drive = RouterScale.drive(mine, homes);
            drive.arrive((int) (WARM_UP_SECONDS * load.perSecond()));
            DriveCounts warm = drive.counts();
            long requestsBefore = warm.requests;
            long atHomeBefore = warm.atHome;
            long movedBefore = warm.movedFromBusyHome;
            drive.sampleInto(nodes);
            DriveCounts counts = drive.arrive((int) (seconds * load.perSecond()));
            requests += counts.requests - requestsBefore;
            atHome += counts.atHome - atHomeBefore;
            movedFromBusyHome += counts.movedFromBusyHome - movedBefore;
        }
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("requests", (double) requests);
        figures.put("home_share", (double) atHome / requests);
        figures.put("moved_from_busy_home_share", (double) movedFromBusyHome / requests);
        figures.put("worst_requests_over_mean", nodes.worstRequestsOverMean());
        figures.put("mean_in_flight_per_node", nodes.meanInFlight());
        figures.put("worst_in_flight_over_mean", nodes.worstInFlightOverMean());
        return figures;
    }
}

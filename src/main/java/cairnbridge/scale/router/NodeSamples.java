package cairnbridge.scale.router;

import java.util.Arrays;

/** What each node has from many proxies together: requests, and in flight at moments apart. */
final class NodeSamples {
    /** Ticks from one sample to the next; also before the first one. */
    static final long INTERVAL = 20 * RouterLoad.MILLISECOND;

    private final long[][] inFlight;
    private final long[] requests;

    NodeSamples(int nodes, int samples) {
        inFlight = new long[samples][nodes + 1];
        requests = new long[nodes + 1];
    }

    int samples() {
        return inFlight.length;
    }

    /** Adds what one proxy has in flight by node, from 1 on, at a sample. */
    void add(int sample, int[] byNode) {
        for (int node = 1; node < byNode.length; node++) {
            inFlight[sample][node] += byNode[node];
        }
    }

    /** A proxy has sent a request to a node. */
    void sent(int node) {
        requests[node]++;
    }

    double worstRequestsOverMean() {
        return worstOverMean(requests);
    }

    /** The mean over the samples. */
    double worstInFlightOverMean() {
        return Arrays.stream(inFlight).mapToDouble(NodeSamples::worstOverMean).average().orElse(0);
    }

    double meanInFlight() {
        return Arrays.stream(inFlight).mapToDouble(NodeSamples::mean).average().orElse(0);
    }

    private static double worstOverMean(long[] byNode) {
        double mean = mean(byNode);
        return mean == 0 ? 0 : Arrays.stream(byNode).max().orElse(0) / mean;
    }

    private static double mean(long[] byNode) {
        return (double) Arrays.stream(byNode).sum() / (byNode.length - 1);
    }
}

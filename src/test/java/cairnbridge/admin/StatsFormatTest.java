package cairnbridge.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cairnbridge.Fixtures;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against changes to the output format of the stats command. The fixture was written by an
 * earlier version.
 */
class StatsFormatTest {
    @Test
    void formatMatchesTheFixture() throws Exception {
        ProxyMetrics metrics = new ProxyMetrics(List.of("view", "loan"));
        for (int i = 0; i < 4; i++) {
            metrics.requestAccepted();
        }
        metrics.requestEnded(0, ProxyMetrics.RequestOutcome.SUCCESS);
        metrics.requestEnded(1, ProxyMetrics.RequestOutcome.BUSY);
        metrics.requestEnded(1, ProxyMetrics.RequestOutcome.FAILURE);
        metrics.attemptSent();
        metrics.attemptSent();
        metrics.setListedNodes(9);
        metrics.setAvoidedNodes(2);
        for (ProxyMetrics.AttemptRejection reason : ProxyMetrics.AttemptRejection.values()) {
            metrics.attemptRejected(reason);
        }
        metrics.addMetrics(() -> Map.of("further_total", 4L));

        assertEquals(Fixtures.text("stats.txt"), metrics.format());
    }
}

package cairnbridge.scale.router;

import cairnbridge.config.JsonObject;
import cairnbridge.config.SettingsReader;
import cairnbridge.decision.Event;
import cairnbridge.decision.Event.Endpoint;
import cairnbridge.decision.Event.ListScope;
import cairnbridge.decision.Event.NodeState;
import cairnbridge.decision.Ids.CellId;
import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.ZoneId;
import cairnbridge.decision.Settings;
import cairnbridge.drill.scenario.ProxySettings;
import cairnbridge.drill.scenario.Scenario;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The load that a router is driven with.
 *
 * @param nodes cache nodes in its list
 * @param proxies how many proxies it is told share the fleet
 * @param zones over how many zones a plan places requests; 0 for no plan
 * @param requests requests that arrive
 * @param perSecond mean rate of the arrivals, which come at random times
 * @param latencyMillis from a push to its answer
 * @param keys how many keys are asked for
 * @param skew 1 for keys asked for alike, 3 for the drill's few hot keys
 * @param seed of all chance
 */
public record RouterLoad(
        int nodes,
        int proxies,
        int zones,
        int requests,
        double perSecond,
        double latencyMillis,
        int keys,
        double skew,
        long seed) {
    /** Ticks of the router's clock in a millisecond and in a second. */
    static final long MILLISECOND = 10;

    static final long SECOND = 10_000;

    /** The clock at the start of a drive; far from 0, so that no node counts as just started. */
    static final long START = 1_000 * SECOND;

    /** The same load with other chance. */
    RouterLoad withSeed(long other) {
        return new RouterLoad(
                nodes, proxies, zones, requests, perSecond, latencyMillis, keys, skew, other);
    }

    /** The settings of the drill's proxies, for this many proxies and nodes. */
    Settings settings() {
        return settings(proxies);
    }

    Settings settings(int sharedBy) {
        Scenario scenario =
                new Scenario(
                        "",
                        sharedBy,
                        List.of(),
                        List.of("a"),
                        nodes,
                        0,
                        seed,
                        false,
                        Map.of(),
                        List.of(),
                        1);
        return SettingsReader.read(
                JsonObject.parse(ProxySettings.of(scenario).toString(), "settings"));
    }

    /** The whole list, as discovery tells it; every call makes entries of its own. */
    Event.EndpointListReceived fullList() {
        List<Endpoint> entries = new ArrayList<>();
        for (int node = 1; node <= nodes; node++) {
            entries.add(entry(node, NodeState.READY));
        }
        return new Event.EndpointListReceived(ListScope.FULL, 1, entries);
    }

    /** A list that tells of one entry only. */
    Event.EndpointListReceived change(int node, NodeState state) {
        return new Event.EndpointListReceived(ListScope.CHANGES, 2, List.of(entry(node, state)));
    }

    private Endpoint entry(int node, NodeState state) {
        int zone = zones == 0 ? 0 : node % zones;
        return new Endpoint(
                new NodeId(node),
                state,
                new MachineKind(0),
                1,
                0,
                new CellId(zone),
                new ZoneId(zone));
    }
}

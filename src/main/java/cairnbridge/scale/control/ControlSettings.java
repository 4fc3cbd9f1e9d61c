package cairnbridge.scale.control;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How one fleet is played.
 *
 * @param hollow what all members have in common
 * @param processes how many share the members
 * @param settleSeconds between the fleet's agreement and the first measurement
 * @param quietSeconds measured without a change
 * @param changes made one after another
 */
record ControlSettings(
        HollowSettings hollow, int processes, int settleSeconds, int quietSeconds, int changes) {
    /** As written into each measurement. */
    Map<String, Object> describe(int play) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("members", hollow.members());
        settings.put("processes", processes);
        settings.put("nodes", hollow.nodes());
        settings.put("changing_figures", hollow.changingFigures());
        settings.put("settle_seconds", settleSeconds);
        settings.put("quiet_seconds", quietSeconds);
        settings.put("changes", changes);
        settings.put("seed", hollow.seed());
        settings.put("play", play);
        return settings;
    }
}

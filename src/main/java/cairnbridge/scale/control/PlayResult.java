package cairnbridge.scale.control;

import java.util.List;
import java.util.Map;

/**
 * What one play of a fleet gave.
 *
 * @param figures of the whole play by name
 * @param changes each that was made
 */
record PlayResult(Map<String, Number> figures, List<ChangeResult> changes) {}

package cairnbridge.cli;

import java.util.logging.LogManager;

/**
 * Guards against losing log records during an orderly shutdown: the default log manager removes its
 * handlers in a shutdown hook that runs concurrently with the others.
 */
public final class NonResettingLogManager extends LogManager {
    @Override
    public void reset() {
        // The handler writes unbuffered to standard error, so there is nothing to flush or close.
    }
}

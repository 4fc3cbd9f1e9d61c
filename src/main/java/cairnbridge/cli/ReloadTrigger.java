package cairnbridge.cli;

import cairnbridge.decision.TimeBudget;
import java.nio.file.Path;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Reloads the configuration when the process receives SIGHUP.
 *
 * <p>A process inherits ignored signals from its parent, and the JVM never calls a handler for a
 * SIGHUP that was ignored at startup. This happens under {@code nohup} and in some service
 * managers. In that case the configuration file is polled, and each change of the file triggers a
 * reload.
 */
final class ReloadTrigger {
    private static final Logger LOG = Logger.getLogger(ReloadTrigger.class.getName());
    private static final String HANG_UP = "HUP";

    private ReloadTrigger() {}

    /** Runs reload on each SIGHUP or, if SIGHUP is ignored, on each change of the file. */
    static void install(Path configurationFile, Runnable reload) {
        SignalHandler previous = Signal.handle(new Signal(HANG_UP), signal -> reload.run());
        if (previous == SignalHandler.SIG_IGN) {
            LOG.warning("SIGHUP is ignored since the start, following " + configurationFile);
            watch(new FileChanges(configurationFile), reload);
        }
    }

    private static void watch(FileChanges changes, Runnable reload) {
        ScheduledExecutorService watcher =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, "configuration");
                            thread.setDaemon(true);
                            return thread;
                        });
        watcher.scheduleWithFixedDelay(
                () -> {
                    if (changes.poll()) {
                        reload.run();
                    }
                },
                TimeBudget.RELOAD_POLL_MILLIS,
                TimeBudget.RELOAD_POLL_MILLIS,
                TimeUnit.MILLISECONDS);
    }
}

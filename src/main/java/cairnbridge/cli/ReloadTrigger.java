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
 * Has the configuration read again when the process gets SIGHUP.
 *
 * <p>A process inherits ignored signals from whoever starts it, and the virtual machine leaves a
 * SIGHUP that was ignored at its start ignored for good: no handler is ever called. That is so
 * below {@code nohup} and in some service managers. There the configuration file is watched
 * instead, and a file that has changed stands for the signal.
 */
final class ReloadTrigger {
    private static final Logger LOG = Logger.getLogger(ReloadTrigger.class.getName());
    private static final String HANG_UP = "HUP";

    private ReloadTrigger() {}

    /** Runs reload for each SIGHUP or, where that cannot arrive, for each change of the file. */
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

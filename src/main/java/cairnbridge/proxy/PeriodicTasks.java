package cairnbridge.proxy;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/**
 * What a proxy does again and again while it runs, on the scheduler's thread: it follows the
 * maintenance marks of other processes, keeps to the budget of descriptors that it shares with
 * them, closes overdue connections, saves the state for a warm start, and prepares for a process
 * that takes this one's place.
 */
final class PeriodicTasks {
    private static final Logger LOG = Logger.getLogger(PeriodicTasks.class.getName());
    private static final long CONNECTION_CHECK_MILLIS = 200;
    private static final long WARM_START_SAVE_MILLIS = 1000;
    private static final long SUCCESSOR_CHECK_MILLIS = 500;

    private final ProxyComponents components;
    private final DeduplicatedLog deduplicatedLog = new DeduplicatedLog(LOG, "warm start");

    /** Scheduler's thread only. */
    private boolean handoverPrepared;

    /** Schedules nothing yet. */
    PeriodicTasks(ProxyComponents components) {
        this.components = components;
    }

    /** Schedules all tasks; they end with the scheduler. */
    void start() {
        schedule(components.maintenanceMarks()::refresh, MaintenanceMarks.REFRESH_MILLIS);
        schedule(this::checkConnections, CONNECTION_CHECK_MILLIS);
        schedule(this::saveWarmStart, WARM_START_SAVE_MILLIS);
        schedule(this::prepareHandover, SUCCESSOR_CHECK_MILLIS);
    }

    /** On a thread of its own, as it takes longer than the other tasks may wait. */
    private void prepareHandover() {
        if (!handoverPrepared && components.siblings().hasSuccessor()) {
            handoverPrepared = true;
            Thread preparing =
                    new Thread(components.reactor()::prepareDiversion, "prepare-handover");
            preparing.setDaemon(true);
            preparing.start();
        }
    }

    private void schedule(Runnable task, long intervalMillis) {
        var unused =
                components
                        .scheduler()
                        .scheduleWithFixedDelay(
                                task, intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
    }

    private void checkConnections() {
        ConnectionReactor reactor = components.reactor();
        int siblingDescriptors =
                components.siblings().exchangeDescriptorCounts(reactor.openDescriptors());
        reactor.setSiblingDescriptors(siblingDescriptors);
        reactor.closeOverdue();
    }

    /** Only a process without siblings saves, for the next one that starts beside it. */
    private void saveWarmStart() {
        if (components.listenerState().isReady() && !components.siblings().hasSiblings()) {
            writeWarmStartFile();
        }
    }

    /** Writes what was learnt about nodes to the warm start file; a failure is logged. */
    void writeWarmStartFile() {
        try {
            components.config().writeWarmStart(components.coordinator().warmStartState());
        } catch (IOException e) {
            deduplicatedLog.warnOnce("cannot write the file: {0}", e);
        }
    }
}

package cairnbridge.proxy;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/**
 * The periodic tasks of a running proxy, on the scheduler's thread. They apply the maintenance
 * markers of other processes, exchange descriptor counts with them to keep to the shared budget,
 * close overdue connections, write the warm start file, prepare the handover to a successor, and
 * complete the one from a predecessor.
 */
final class PeriodicTasks {
    private static final Logger LOG = Logger.getLogger(PeriodicTasks.class.getName());
    private static final long CONNECTION_CHECK_MILLIS = 200;
    private static final long WARM_START_SAVE_MILLIS = 1000;
    private static final long SUCCESSOR_CHECK_MILLIS = 500;
    private static final long PREDECESSOR_CHECK_MILLIS = 200;

    private final ProxyComponents components;
    private final DeduplicatedLog deduplicatedLog = new DeduplicatedLog(LOG, "warm start");

    /** Used only on the scheduler's thread. */
    private boolean handoverPrepared;

    /** Whether a predecessor was running at the last look; the scheduler's thread, once started. */
    private boolean predecessorWasRunning;

    /** Creates the tasks; {@link #start} schedules them. */
    PeriodicTasks(ProxyComponents components) {
        this.components = components;
    }

    /** Schedules all tasks; they end with the scheduler. */
    void start() {
        predecessorWasRunning = components.siblings().hasPredecessor();
        schedule(components.maintenanceMarkers()::refresh, MaintenanceMarkers.REFRESH_MILLIS);
        schedule(this::checkConnections, CONNECTION_CHECK_MILLIS);
        schedule(this::saveWarmStart, WARM_START_SAVE_MILLIS);
        schedule(this::prepareHandover, SUCCESSOR_CHECK_MILLIS);
        schedule(this::completeHandover, PREDECESSOR_CHECK_MILLIS);
    }

    /**
     * Prepares to divert new connections once a successor runs. Uses a separate thread, because
     * this takes longer than the other tasks may be delayed.
     */
    private void prepareHandover() {
        if (!handoverPrepared && components.siblings().hasSuccessor()) {
            handoverPrepared = true;
            startThread(components.reactor()::prepareDiversion, "prepare-handover");
        }
    }

    /**
     * Ends the diversion of new connections once the last predecessor has ended, in whatever way;
     * on a separate thread for the same reason.
     */
    private void completeHandover() {
        boolean predecessorRuns = components.siblings().hasPredecessor();
        if (predecessorWasRunning && !predecessorRuns) {
            startThread(components.reactor()::endDiversion, "complete-handover");
        }
        predecessorWasRunning = predecessorRuns;
    }

    private static void startThread(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
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

    /** Only a process without siblings writes the file; the next process to start reads it. */
    private void saveWarmStart() {
        if (components.listenerState().isReady() && !components.siblings().hasSiblings()) {
            writeWarmStartFile();
        }
    }

    /** Writes what was learnt about nodes to the warm start file; a failure is only logged. */
    void writeWarmStartFile() {
        try {
            components.config().writeWarmStart(components.coordinator().warmStartState());
        } catch (IOException e) {
            deduplicatedLog.warnOnce("cannot write the file: {0}", e);
        }
    }
}

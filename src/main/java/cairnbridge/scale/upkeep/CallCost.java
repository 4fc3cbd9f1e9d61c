package cairnbridge.scale.upkeep;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.function.IntSupplier;

/** Measures the processor time of a call on the calling thread, after a warm-up. */
final class CallCost {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Results go here, so that no call can be optimised away. */
    private static volatile long sink;

    private final long warmUpNanos;
    private final long playNanos;

    CallCost(long warmUpMillis, long playMillis) {
        warmUpNanos = warmUpMillis * NANOS_PER_MILLI;
        playNanos = playMillis * NANOS_PER_MILLI;
    }

    /** Calls until the warm-up is over. */
    void warmUp(IntSupplier call) {
        nanosPerCall(call, warmUpNanos);
    }

    /** Mean processor time of a call, in microseconds. */
    double microsPerCall(IntSupplier call) {
        return nanosPerCall(call, playNanos) / 1e3;
    }

    private static double nanosPerCall(IntSupplier call, long span) {
        long begun = THREADS.getCurrentThreadCpuTime();
        long calls = 0;
        long spent = 0;
        long batch = 1;
        while (spent < span) {
            for (long i = 0; i < batch; i++) {
                sink += call.getAsInt();
            }
            calls += batch;
            spent = THREADS.getCurrentThreadCpuTime() - begun;
            batch = spent < span / 100 ? batch * 2 : batch;
        }
        return (double) spent / calls;
    }
}

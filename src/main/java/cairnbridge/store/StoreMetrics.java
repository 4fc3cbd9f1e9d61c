package cairnbridge.store;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAccumulator;
import java.util.concurrent.atomic.LongAdder;

/** Counters and timings of a state store. Thread-safe. */
public final class StoreMetrics {
    private final LongAdder snapshots = new LongAdder();
    private final LongAdder records = new LongAdder();
    private final LongAdder faults = new LongAdder();
    private final LongAdder snapshotBytes = new LongAdder();
    private final LongAdder busyMicros = new LongAdder();
    private final LongAccumulator slowestMicros = new LongAccumulator(Long::max, 0);

    void countSnapshot(long bytes) {
        snapshots.increment();
        snapshotBytes.add(bytes);
    }

    void countRecords(int count) {
        records.add(count);
    }

    void countFault() {
        faults.increment();
    }

    void countOperation(long nanos) {
        long micros = TimeUnit.NANOSECONDS.toMicros(nanos);
        busyMicros.add(micros);
        slowestMicros.accumulate(micros);
    }

    /** The metrics by name; names of counters end in {@code _total}. */
    public Map<String, Long> values() {
        Map<String, Long> values = new LinkedHashMap<>();
        values.put("store.snapshots_total", snapshots.sum());
        values.put("store.entries_total", records.sum());
        values.put("store.faults_total", faults.sum());
        values.put("store.bytes_total", snapshotBytes.sum());
        values.put("store.busy_us_total", busyMicros.sum());
        values.put("store.slowest_us", slowestMicros.get());
        return values;
    }
}

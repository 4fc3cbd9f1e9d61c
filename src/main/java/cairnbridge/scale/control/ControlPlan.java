package cairnbridge.scale.control;

import cairnbridge.config.ConfigurationException;
import java.util.Locale;

/**
 * What a run at one size will take, reckoned beforehand.
 *
 * @param members the size of the fleet
 * @param processes how many share them
 * @param heapLimit bytes of each process's heap at most
 * @param memory bytes of all processes together at most
 * @param descriptors of the process with the most members
 */
record ControlPlan(int members, int processes, long heapLimit, long memory, long descriptors) {
    static final int MOST_PROCESSES = 100;
    private static final long MEBIBYTE = 1 << 20;

    /** Of one process without members: heap, and what the virtual machine has beside it. */
    private static final long PROCESS_HEAP = 64 * MEBIBYTE;

    private static final long PROCESS_OVERHEAD = 96 * MEBIBYTE;

    /** Of one member: what it holds of another, and what it has for itself. */
    private static final long BYTES_PER_ROW = 600;

    private static final long MEMBER_HEAP = MEBIBYTE / 4;

    /** The receive buffer outside the heap, the thread's stack in use, kernel structures. */
    private static final long MEMBER_OVERHEAD = MEBIBYTE / 4;

    /** The heap is this many times what lives in it. */
    private static final long HEAP_FACTOR = 2;

    /** Two sockets, the selector's two descriptors, and streams of the moment. */
    private static final int DESCRIPTORS_PER_MEMBER = 8;

    private static final int PROCESS_DESCRIPTORS = 64;

    /** The machine's part that a run may take. */
    private static final double MEMORY_PART = 0.5;

    /**
     * What there is on this machine.
     *
     * @param memory bytes in all
     * @param descriptors open files of one process at most
     */
    record Machine(long memory, long descriptors) {}

    /** Reckons a run at one size. */
    static ControlPlan of(int members, int processes) {
        int share = (members + processes - 1) / processes;
        long live = PROCESS_HEAP + share * (members * BYTES_PER_ROW + MEMBER_HEAP);
        long heapLimit = HEAP_FACTOR * live;
        long memory = processes * (heapLimit + PROCESS_OVERHEAD + share * MEMBER_OVERHEAD);
        long descriptors = PROCESS_DESCRIPTORS + (long) share * DESCRIPTORS_PER_MEMBER;
        return new ControlPlan(members, processes, heapLimit, memory, descriptors);
    }

    /** Throws a ConfigFault that names the option at fault where the machine has too little. */
    void check(Machine machine) {
        if (processes > MOST_PROCESSES) {
            throw new ConfigurationException("--processes", "is over " + MOST_PROCESSES);
        }
        if (processes > members) {
            throw new ConfigurationException(
                    "--processes", "is over the number of members, " + members);
        }
        if (memory > MEMORY_PART * machine.memory()) {
            throw new ConfigurationException(
                    "--members",
                    String.format(
                            Locale.ROOT,
                            "%d members need up to %d MiB, over half of the machine's %d MiB",
                            members,
                            memory / MEBIBYTE,
                            machine.memory() / MEBIBYTE));
        }
        if (descriptors > machine.descriptors()) {
            throw new ConfigurationException(
                    "--members",
                    String.format(
                            Locale.ROOT,
                            "%d members in %d processes need %d descriptors a process, over the"
                                    + " limit of %d",
                            members,
                            processes,
                            descriptors,
                            machine.descriptors()));
        }
    }

    /** One line for whoever starts the run. */
    String describe() {
        return String.format(
                Locale.ROOT,
                "%d members in %d processes: up to %d MiB of memory, %d MiB of heap and %d"
                        + " descriptors a process, %d sockets listening",
                members,
                processes,
                memory / MEBIBYTE,
                heapLimit / MEBIBYTE,
                descriptors,
                2L * members);
    }
}

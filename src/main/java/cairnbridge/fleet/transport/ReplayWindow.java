package cairnbridge.fleet.transport;

import cairnbridge.fleet.member.MemberId;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Accepts each datagram of a sender at most once, by a sliding window over its sequence numbers
 * (RFC 4303, section 3.4.3), and rejects datagrams of an earlier run of the sender's process. The
 * number of senders is bounded; the least recently active one is evicted first.
 */
final class ReplayWindow {
    private static final int WINDOW_BITS = Long.SIZE;
    private static final int INITIAL_CAPACITY = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private static final class SenderWindow {
        private long generation;
        private long highest = -1;

        /** Bit i is set if the sequence number highest - i has been received. */
        private long received;

        void restart(long newGeneration) {
            generation = newGeneration;
            highest = -1;
            received = 0;
        }

        /** Records a sequence number; false if it is a duplicate or older than the window. */
        boolean add(long sequence) {
            long ahead = sequence - highest;
            if (ahead > 0) {
                received = ahead >= WINDOW_BITS ? 1 : received << ahead | 1;
                highest = sequence;
                return true;
            }
            if (-ahead >= WINDOW_BITS) {
                return false;
            }
            long bit = 1L << -ahead;
            boolean isNew = (received & bit) == 0;
            received |= bit;
            return isNew;
        }
    }

    private final Map<MemberId, SenderWindow> windows;

    ReplayWindow(int maxSenders) {
        windows = new LeastRecentlyUsedMap<>(maxSenders);
    }

    /** Records a datagram; rejects a replayed one and one of an earlier generation. */
    void accept(MemberId sender, long generation, long sequence) throws RejectedFrameException {
        SenderWindow window = windows.computeIfAbsent(sender, id -> new SenderWindow());
        if (generation < window.generation) {
            throw new RejectedFrameException(RejectionReason.EARLIER_LIFE);
        }
        if (generation > window.generation) {
            window.restart(generation);
        }
        if (!window.add(sequence)) {
            throw new RejectedFrameException(RejectionReason.SEEN_BEFORE);
        }
    }

    private static final class LeastRecentlyUsedMap<K, V> extends LinkedHashMap<K, V> {
        private static final long serialVersionUID = 1L;
        private final int maxEntries;

        LeastRecentlyUsedMap(int maxEntries) {
            super(INITIAL_CAPACITY, LOAD_FACTOR, true);
            this.maxEntries = maxEntries;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
            return size() > maxEntries;
        }
    }
}

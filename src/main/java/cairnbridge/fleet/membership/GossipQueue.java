package cairnbridge.fleet.membership;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberState;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Member states that wait for dissemination: the latest state of each member, least often sent
 * first, each sent a bounded number of times. Status changes have priority over metadata changes.
 * The cost of taking updates depends on the number taken, not on the number pending.
 */
final class GossipQueue {
    private static final class PendingUpdate {
        final MemberState state;
        int transmissions;

        /**
         * Whether a later update of the same member has replaced this one. A replaced update is
         * dropped when it reaches the head of its queue.
         */
        boolean replaced;

        PendingUpdate(MemberState state) {
            this.state = state;
        }
    }

    /** The pending updates of one priority, in one queue for each number of transmissions. */
    private static final class PriorityLevel {
        private final Map<MemberId, PendingUpdate> latest = new HashMap<>();
        private final List<ArrayDeque<PendingUpdate>> byTransmissions = new ArrayList<>();

        void add(MemberState state) {
            PendingUpdate update = new PendingUpdate(state);
            markReplaced(latest.put(state.id(), update));
            queue(0).add(update);
        }

        void remove(MemberId id) {
            markReplaced(latest.remove(id));
        }

        boolean contains(MemberId id) {
            return latest.containsKey(id);
        }

        int size() {
            return latest.size();
        }

        private static void markReplaced(PendingUpdate update) {
            if (update != null) {
                update.replaced = true;
            }
        }

        private ArrayDeque<PendingUpdate> queue(int transmissions) {
            while (byTransmissions.size() <= transmissions) {
                byTransmissions.add(new ArrayDeque<>());
            }
            return byTransmissions.get(transmissions);
        }

        /** Adds updates to a message until it is full. */
        void fill(MessageContent content, int maxTransmissions) {
            List<PendingUpdate> sent = new ArrayList<>();
            for (int i = 0; i < byTransmissions.size() && content.hasRoom(); i++) {
                takeFrom(byTransmissions.get(i), i == 0, content, sent);
            }
            for (PendingUpdate update : sent) {
                if (++update.transmissions < maxTransmissions) {
                    queue(update.transmissions).add(update);
                } else {
                    latest.remove(update.state.id());
                }
            }
        }

        private static void takeFrom(
                ArrayDeque<PendingUpdate> queue,
                boolean neverSent,
                MessageContent content,
                List<PendingUpdate> sent) {
            for (int i = queue.size(); i > 0; i--) {
                PendingUpdate update = queue.poll();
                if (update.replaced) {
                    continue;
                }
                if (!content.add(update.state)) {
                    // The update waits for a later message. If it was never sent and this message
                    // is empty, the search goes on among updates already sent, which may be
                    // smaller.
                    queue.add(update);
                    if (!neverSent || !content.isEmpty()) {
                        content.close();
                    }
                    return;
                }
                sent.add(update);
            }
        }
    }

    /** The updates of a message and the number of bytes left in it. */
    private static final class MessageContent {
        private final List<MemberState> updates = new ArrayList<>();
        private int bytesLeft;

        MessageContent(int bytes) {
            bytesLeft = bytes;
        }

        /** Adds an update; false if it does not fit. */
        boolean add(MemberState state) {
            int bytes = state.maxEncodedBytes();
            if (bytes > bytesLeft) {
                return false;
            }
            bytesLeft -= bytes;
            updates.add(state);
            return true;
        }

        boolean hasRoom() {
            return bytesLeft > 0;
        }

        boolean isEmpty() {
            return updates.isEmpty();
        }

        void close() {
            bytesLeft = 0;
        }
    }

    private final PriorityLevel statuses = new PriorityLevel();
    private final PriorityLevel metadata = new PriorityLevel();

    /** Queues a state whose status has changed. */
    void addStatus(MemberState state) {
        statuses.add(state);
        if (state.metadata() != null) {
            metadata.remove(state.id()); // The status update contains the metadata.
        }
    }

    /** Queues a state whose metadata has changed. */
    void addMetadata(MemberState state) {
        if (statuses.contains(state.id())) {
            statuses.add(state);
        } else {
            metadata.add(state);
        }
    }

    void remove(MemberId id) {
        statuses.remove(id);
        metadata.remove(id);
    }

    boolean isEmpty() {
        return size() == 0;
    }

    int size() {
        return statuses.size() + metadata.size();
    }

    /**
     * Takes updates for one message of this size. Each update is taken {@code maxTransmissions}
     * times in all.
     */
    List<MemberState> take(int bytes, int maxTransmissions) {
        MessageContent content = new MessageContent(bytes);
        statuses.fill(content, maxTransmissions);
        if (content.hasRoom()) {
            metadata.fill(content, maxTransmissions);
        }
        return content.updates;
    }

    /** Like {@link #take(int, int)}, but puts an update first that must be in the message. */
    List<MemberState> take(MemberState first, int bytes, int maxTransmissions) {
        List<MemberState> updates = new ArrayList<>();
        updates.add(first);
        updates.addAll(take(bytes - first.maxEncodedBytes(), maxTransmissions));
        return updates;
    }
}

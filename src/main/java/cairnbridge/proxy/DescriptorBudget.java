package cairnbridge.proxy;

import cairnbridge.admin.AdminServer;
import cairnbridge.config.ProxyConfig;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts the file descriptors of the process's connections against the configured limit, which it
 * shares with other processes of the same proxy. Any thread may call its methods.
 */
public final class DescriptorBudget {
    /** What the process needs for itself: files, selectors, the listener, the watch. */
    private static final int PROCESS_DESCRIPTORS = 24;

    /**
     * The share of the budget from which on clients' connections end with their answer. Guards
     * against idle connections that keep others out, as clients get a third of all for their
     * requests.
     */
    private static final double CROWDED_SHARE = 0.35;

    /**
     * From here on no connection to a server is opened if there is a choice, and idle ones close.
     */
    private static final double FULL_SHARE = 0.75;

    /** What clients never get, so that a connection to a server can be opened whatever they do. */
    private static final double UPSTREAM_RESERVED_SHARE = 0.125;

    /** What connections may take up that only wait for their client to close. */
    private static final double LINGERING_SHARE = 0.0625;

    /**
     * The most connections that are accepted and not yet admitted, or rejected and not yet closed.
     */
    static final int MAX_PENDING_ACCEPTED = 8;

    private final int crowdedLimit;
    private final int fullLimit;
    private final int exhaustedLimit;
    private final int maxClients;
    private final int maxLingering;
    private final AtomicInteger openDescriptors = new AtomicInteger();
    private final AtomicInteger pendingAccepted = new AtomicInteger();
    private volatile int siblingDescriptors;

    /** The whole budget, with nothing open yet. */
    public DescriptorBudget(ProxyConfig.Network network) {
        int adminDescriptors = network.admin().isPresent() ? AdminServer.MAX_SOCKETS : 0;
        exhaustedLimit = network.maxSockets() - PROCESS_DESCRIPTORS - adminDescriptors;
        crowdedLimit = (int) (CROWDED_SHARE * exhaustedLimit);
        fullLimit = (int) (FULL_SHARE * exhaustedLimit);
        int clientShare = (int) ((1 - UPSTREAM_RESERVED_SHARE) * exhaustedLimit);
        // Guards against the smallest limits, in which all clients would be rejected.
        maxClients =
                Math.max(
                        Math.min(clientShare, MAX_PENDING_ACCEPTED),
                        clientShare - MAX_PENDING_ACCEPTED);
        maxLingering = (int) (LINGERING_SHARE * exhaustedLimit);
    }

    /** Counts a connection that is open, or about to be opened. */
    public void opened() {
        openDescriptors.incrementAndGet();
    }

    /**
     * Counts a connection as closed.
     *
     * @return how many are still open
     */
    public int closed() {
        return openDescriptors.decrementAndGet();
    }

    /** The descriptors that this process's connections take up. */
    public int openDescriptors() {
        return openDescriptors.get();
    }

    /** Sets what other processes take up of the budget, as they have published it last. */
    public void setSiblingDescriptors(int descriptors) {
        siblingDescriptors = descriptors;
    }

    /**
     * Whether nothing is left. Two processes share one budget; while both fit into it each keeps to
     * its own limits.
     */
    public boolean isExhausted() {
        return openDescriptors() + siblingDescriptors >= exhaustedLimit;
    }

    /** Whether connections to servers are to be opened only if there is no other way. */
    public boolean isUpstreamFull() {
        return openDescriptors() >= fullLimit || isExhausted();
    }

    /** With so many open descriptors clients' connections end with their answer. */
    int crowdedLimit() {
        return crowdedLimit;
    }

    /** With so many open descriptors idle connections are closed. */
    int fullLimit() {
        return fullLimit;
    }

    /**
     * The most connections that clients may have; with those that are not yet admitted, or rejected
     * and not yet closed, they leave what is reserved for servers.
     */
    int maxClients() {
        return maxClients;
    }

    /** The most connections that may wait for their client to close. */
    int maxLingering() {
        return maxLingering;
    }

    /**
     * Whether another connection may be accepted. Guards against a crowd at a busy reactor: what is
     * accepted and not yet counted takes up descriptors. A client that waits in the system's queue
     * meanwhile takes up none.
     */
    boolean canAccept() {
        return pendingAccepted.get() < MAX_PENDING_ACCEPTED;
    }

    /** Counts a connection that is accepted, until it is admitted, or rejected and closed. */
    void addPendingAccepted() {
        pendingAccepted.incrementAndGet();
    }

    /** An accepted connection is admitted, and counted as open by now, or is closed. */
    void removePendingAccepted() {
        pendingAccepted.decrementAndGet();
    }

    /** Connections that are accepted and not yet admitted, or rejected and not yet closed. */
    int pendingAccepted() {
        return pendingAccepted.get();
    }
}

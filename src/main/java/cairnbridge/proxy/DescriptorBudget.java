package cairnbridge.proxy;

import cairnbridge.admin.AdminServer;
import cairnbridge.config.ProxyConfig;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts the file descriptors of this process's connections against the configured limit, which is
 * shared with other processes of the same proxy. Thread-safe.
 */
public final class DescriptorBudget {
    /** Descriptors needed besides connections: for files, selectors, listener, discovery watch. */
    private static final int PROCESS_DESCRIPTORS = 24;

    /**
     * The share of the budget above which each client connection is closed with its next response.
     * Guards against idle client connections that keep other clients out: client connections get a
     * third of all descriptors.
     */
    private static final double KEEP_ALIVE_SHARE = 0.35;

    /**
     * The share of the budget above which a connection to a server is opened only if it is
     * unavoidable, and idle connections are closed.
     */
    private static final double FULL_SHARE = 0.75;

    /**
     * The share of the budget that clients cannot use, so that a connection to a server can be
     * opened however many clients connect.
     */
    private static final double UPSTREAM_RESERVED_SHARE = 0.125;

    /** The share of the budget for connections that only wait for their client to close. */
    private static final double LINGERING_SHARE = 0.0625;

    /**
     * The most connections that may be accepted and not yet admitted, or rejected and not yet
     * closed.
     */
    static final int MAX_PENDING_ACCEPTED = 8;

    private final int keepAliveLimit;
    private final int fullLimit;
    private final int exhaustedLimit;
    private final int maxClients;
    private final int maxLingering;
    private final AtomicInteger openDescriptors = new AtomicInteger();
    private final AtomicInteger pendingAccepted = new AtomicInteger();
    private volatile int siblingDescriptors;

    /** Creates a budget of which no descriptor is used yet. */
    public DescriptorBudget(ProxyConfig.Network network) {
        int adminDescriptors = network.admin().isPresent() ? AdminServer.MAX_DESCRIPTORS : 0;
        exhaustedLimit = network.maxSockets() - PROCESS_DESCRIPTORS - adminDescriptors;
        keepAliveLimit = (int) (KEEP_ALIVE_SHARE * exhaustedLimit);
        fullLimit = (int) (FULL_SHARE * exhaustedLimit);
        int clientShare = (int) ((1 - UPSTREAM_RESERVED_SHARE) * exhaustedLimit);
        // Guards against rejecting all clients where the configured limit is very small.
        maxClients =
                Math.max(
                        Math.min(clientShare, MAX_PENDING_ACCEPTED),
                        clientShare - MAX_PENDING_ACCEPTED);
        maxLingering = (int) (LINGERING_SHARE * exhaustedLimit);
    }

    /** Counts a connection as open when it has been opened, or is about to be. */
    public void opened() {
        openDescriptors.incrementAndGet();
    }

    /**
     * Counts a connection as closed.
     *
     * @return the number of descriptors that are still open
     */
    public int closed() {
        return openDescriptors.decrementAndGet();
    }

    /** The number of descriptors that this process's connections use. */
    public int openDescriptors() {
        return openDescriptors.get();
    }

    /** Sets the number of descriptors that the other processes have last reported to use. */
    public void setSiblingDescriptors(int descriptors) {
        siblingDescriptors = descriptors;
    }

    /**
     * Whether the budget is used up by this process and the others together. While both of two
     * processes fit into the budget, each observes only its own limits.
     */
    public boolean isExhausted() {
        return openDescriptors() + siblingDescriptors >= exhaustedLimit;
    }

    /** Whether a connection to a server should be opened only if it is unavoidable. */
    public boolean isUpstreamFull() {
        return openDescriptors() >= fullLimit || isExhausted();
    }

    /** The number of open descriptors from which client connections close after a response. */
    int keepAliveLimit() {
        return keepAliveLimit;
    }

    /** The number of open descriptors from which idle connections are closed. */
    int fullLimit() {
        return fullLimit;
    }

    /**
     * The most connections that clients may have. Together with the connections that are not yet
     * admitted, or rejected and not yet closed, they leave free what is reserved for servers.
     */
    int maxClients() {
        return maxClients;
    }

    /** The most connections that may wait for their client to close. */
    int maxLingering() {
        return maxLingering;
    }

    /**
     * Whether another connection may be accepted. Guards against a burst of connections while the
     * reactor is busy: connections that are accepted and not yet counted use descriptors, whereas
     * those in the system's accept queue use none.
     */
    boolean canAccept() {
        return pendingAccepted.get() < MAX_PENDING_ACCEPTED;
    }

    /** Counts an accepted connection as pending, until it is admitted, or rejected and closed. */
    void addPendingAccepted() {
        pendingAccepted.incrementAndGet();
    }

    /** Ends the pending state of a connection that is now counted as open, or is closed. */
    void removePendingAccepted() {
        pendingAccepted.decrementAndGet();
    }

    /** The number of connections accepted and not yet admitted, or rejected and not yet closed. */
    int pendingAccepted() {
        return pendingAccepted.get();
    }
}

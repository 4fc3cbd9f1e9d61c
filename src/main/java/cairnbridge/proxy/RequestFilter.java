package cairnbridge.proxy;

/**
 * Intercepts complete requests before the coordinator is notified of them, and may answer them
 * instead. Called on the reactor's thread; must not block.
 */
public interface RequestFilter {
    /** Passes all requests on. */
    RequestFilter NONE =
            // Not a lambda, whose class would be generated while the process starts.
            new RequestFilter() {
                @Override
                public boolean intercept(ClientExchange exchange, long deadlineTicks) {
                    return false;
                }
            };

    /**
     * Called when the last byte of a request has been read.
     *
     * @param deadlineTicks the time by which the client expects its response, on the proxy's clock
     * @return true if the filter answers the request, now or later; the coordinator is then not
     *     notified, and the request is not counted
     */
    boolean intercept(ClientExchange exchange, long deadlineTicks);
}

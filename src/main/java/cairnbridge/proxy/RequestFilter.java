package cairnbridge.proxy;

/**
 * Sees each complete request before it is announced and may answer it instead. Called on the
 * reactor thread, and must not block.
 */
public interface RequestFilter {
    /** Lets every request pass. */
    RequestFilter NONE =
            // Not a lambda, which would be made at the start of the process.
            new RequestFilter() {
                @Override
                public boolean intercept(ClientExchange exchange, long deadlineTicks) {
                    return false;
                }
            };

    /**
     * Decides about a request whose last byte has been read.
     *
     * @param deadlineTicks when the client expects its answer, on the proxy's clock
     * @return true if the filter answers the request, now or later; it is then neither announced
     *     nor counted
     */
    boolean intercept(ClientExchange exchange, long deadlineTicks);
}

package cairnbridge.proxy;

/** What happens to clients and their requests; called on the reactor's thread. */
interface ClientEvents {
    /** A request has been read, or its body has begun to pass through. */
    void requestArrived(ClientExchange exchange, long deadlineTicks);

    /** A client has closed its connection before its answer. */
    void clientDisconnected(ClientExchange exchange);

    /** A body that passes through has come to its last byte, from which its TTL runs. */
    void requestBodyCompleted(ClientExchange exchange, long deadlineTicks);
}

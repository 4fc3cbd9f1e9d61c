package cairnbridge.proxy;

/** Receives the events of client requests; called on the reactor's thread. */
interface ClientEvents {
    /** A request has been read completely, or its body has begun to be streamed. */
    void requestArrived(ClientExchange exchange, long deadlineTicks);

    /** A client has closed its connection before it had its whole response. */
    void clientDisconnected(ClientExchange exchange);

    /** The last byte of a streamed body has been read; the TTL of the request runs from now. */
    void requestBodyCompleted(ClientExchange exchange, long deadlineTicks);
}

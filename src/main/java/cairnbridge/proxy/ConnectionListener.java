package cairnbridge.proxy;

/** Hears of the ends of connections to servers; called on the reactor's thread. */
interface ConnectionListener {
    /** A connection to a server is closed. */
    void connectionClosed(UpstreamConnection connection);
}

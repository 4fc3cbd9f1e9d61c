package cairnbridge.proxy;

/** Notified when connections to servers are closed; called on the reactor's thread. */
interface ConnectionListener {
    /** Called once per established connection, after it was closed by either side. */
    void connectionClosed(UpstreamConnection connection);
}

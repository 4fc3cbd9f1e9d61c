package cairnbridge.proxy;

import java.util.function.Consumer;

/** Creates the exchanges of the requests that clients send; called on the reactor's thread. */
final class ClientExchangeFactory implements RequestHandlerFactory {
    private final ListenerState listenerState;
    private final EventQueue eventQueue;

    /** All exchanges report to the same queue. */
    ClientExchangeFactory(ListenerState listenerState, EventQueue eventQueue) {
        this.listenerState = listenerState;
        this.eventQueue = eventQueue;
    }

    @Override
    public ClientExchange create(Consumer<ClientExchange> onReleased, Runnable abortConnection) {
        return new ClientExchange(listenerState, eventQueue, onReleased, abortConnection);
    }
}

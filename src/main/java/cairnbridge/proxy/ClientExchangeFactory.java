package cairnbridge.proxy;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Creates an exchange for each request of a client; called on the reactor's thread. */
final class ClientExchangeFactory implements RequestHandlerFactory {
    private final ListenerState listenerState;
    private final EventQueue eventQueue;

    /** Creates a factory whose exchanges all post their events to the given queue. */
    ClientExchangeFactory(ListenerState listenerState, EventQueue eventQueue) {
        this.listenerState = listenerState;
        this.eventQueue = eventQueue;
    }

    @Override
    public ClientExchange create(
            Consumer<ClientExchange> onReleased,
            Runnable abortConnection,
            ArrivalBound arrivalBound,
            BooleanSupplier hasClientClosed) {
        return new ClientExchange(
                listenerState,
                eventQueue,
                onReleased,
                abortConnection,
                arrivalBound,
                hasClientClosed);
    }
}

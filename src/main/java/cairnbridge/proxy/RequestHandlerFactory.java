package cairnbridge.proxy;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Creates a handler for each request of a client; called on the reactor's thread. */
public interface RequestHandlerFactory {
    /**
     * Creates the handler of one request.
     *
     * @param onReleased called once the HTTP library no longer uses the handler
     * @param abortConnection closes the client's connection at once; callable on any thread
     * @param arrivalBound bounds the time for which the request has waited to be read
     * @param hasClientClosed whether the client has closed its connection, also if that has not
     *     been read yet; called on the reactor's thread while the response is pending
     */
    ClientExchange create(
            Consumer<ClientExchange> onReleased,
            Runnable abortConnection,
            ArrivalBound arrivalBound,
            BooleanSupplier hasClientClosed);
}

package cairnbridge.proxy;

import java.util.function.Consumer;

/** Creates the handler of each request that a client begins; called on the reactor's thread. */
public interface RequestHandlerFactory {
    /**
     * Creates the handler of one request.
     *
     * @param onReleased told once the library is done with the request
     * @param abortConnection closes the client's connection at once; callable on any thread
     */
    ClientExchange create(Consumer<ClientExchange> onReleased, Runnable abortConnection);
}

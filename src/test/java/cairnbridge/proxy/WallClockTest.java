package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.admin.ProxyMetrics;
import cairnbridge.config.ProxyConfig;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Steps of the system's wall clock, which are no spans of real time. */
class WallClockTest extends ProxyTestSupport {
    private static final long CLOSABLE_AFTER_MILLIS = 150;

    /** A session whose last event the wall clock shows this long ago. */
    private static ProtocolIOSession sessionWithLastEvent(long millisAgo) {
        return (ProtocolIOSession)
                Proxy.newProxyInstance(
                        WallClockTest.class.getClassLoader(),
                        new Class<?>[] {ProtocolIOSession.class},
                        (proxy, method, arguments) ->
                                switch (method.getName()) {
                                    case "getLock" -> new ReentrantLock();
                                    case "getLastEventTime" ->
                                            System.currentTimeMillis() - millisAgo;
                                    default -> null;
                                });
    }

    private ClientConnection connectionWithLastEvent(long millisAgo) throws Exception {
        ProxyConfig config = config(endpointListJson(1, true), "127.0.0.1:9");
        List<String> categories = List.of("view");
        ListenerState listenerState =
                new ListenerState(clock, categories, new ProxyMetrics(categories));
        ClientConnections connections =
                new ClientConnections(
                        new DescriptorBudget(config.network()),
                        (onReleased, abort, bound, closed) -> null,
                        () -> {},
                        listenerState);
        ArrivalBound bound = new ArrivalBound(clock, new PollTimes(clock), clock.now());
        return (ClientConnection) connections.createHandler(sessionWithLastEvent(millisAgo), bound);
    }

    /** Guards against idle connections that are kept, or closed at once, after a step. */
    @ParameterizedTest
    @ValueSource(longs = {-1, 1})
    void aStepByAnHourDoesNotChangeHowLongAConnectionHasBeenIdle(long hoursAgo) throws Exception {
        ClientConnection connection = connectionWithLastEvent(TimeUnit.HOURS.toMillis(hoursAgo));
        assertFalse(connection.isClosable());
        Thread.sleep(2 * CLOSABLE_AFTER_MILLIS);
        assertTrue(connection.isClosable());
    }
}

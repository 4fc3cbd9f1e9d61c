package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.decision.Ids.NodeId;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * How threads wait for one another. Guards against a thread that busy-waits, or that relies on time
 * passing while another thread works: if the process runs only one thread at a time, the wait never
 * ends.
 */
@Timeout(20)
class WaitingTest {
    @Test
    void aPosterSleepsWhileTheQueueIsFullAndNoEventIsLostOrReordered() throws Exception {
        EventQueue eventQueue = new EventQueue(2);
        Thread poster =
                ProxyTestSupport.daemon(
                        () -> {
                            for (int i = 0; i < 5; i++) {
                                eventQueue.post(event(i));
                            }
                            return null;
                        });
        ProxyTestSupport.waitUntil(() -> poster.getState() == Thread.State.WAITING);
        eventQueue.postUrgent(event(9));
        assertEquals(
                9,
                nodeNumber(eventQueue.poll()),
                "an urgent event is polled before the events of a full queue");
        for (int i = 0; i < 5; i++) {
            assertEquals(i, nodeNumber(eventQueue.poll(TimeUnit.SECONDS.toNanos(10))));
        }
        poster.join();
    }

    @Test
    void anIdleCoordinatorSleepsAndIsWokenByAnUrgentEvent() throws Exception {
        EventQueue eventQueue = new EventQueue(2);
        CompletableFuture<Integer> polledNumber = new CompletableFuture<>();
        Thread coordinator =
                ProxyTestSupport.daemon(
                        () -> {
                            ProxyEvent event = eventQueue.poll(TimeUnit.SECONDS.toNanos(15));
                            polledNumber.complete(
                                    nodeNumber(
                                            event instanceof ProxyEvent.QueueWakeup
                                                    ? eventQueue.poll()
                                                    : event));
                            return null;
                        });
        ProxyTestSupport.waitUntil(() -> coordinator.getState() == Thread.State.TIMED_WAITING);
        eventQueue.postUrgent(event(7));
        assertEquals(7, polledNumber.get(10, TimeUnit.SECONDS));
    }

    @Test
    void anAcceptorUnderBackpressureChecksPeriodicallyAndLosesNoConnection() throws Exception {
        AtomicBoolean canAccept = new AtomicBoolean();
        AtomicInteger checkCount = new AtomicInteger();
        CountDownLatch accepted = new CountDownLatch(3);
        Acceptor acceptor =
                new Acceptor(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        16,
                        () -> {
                            checkCount.incrementAndGet();
                            return canAccept.get();
                        },
                        (channel, notQueuedTicks) -> accepted.countDown(),
                        new TickClock());
        Thread thread =
                ProxyTestSupport.daemon(
                        () -> {
                            acceptor.run();
                            return null;
                        });
        Socket[] clients = new Socket[3];
        for (int i = 0; i < clients.length; i++) {
            clients[i] = new Socket(acceptor.address().getAddress(), acceptor.address().getPort());
        }
        ProxyTestSupport.waitUntil(() -> checkCount.get() > 0);
        long startNanos = System.nanoTime();
        int checksBefore = checkCount.get();
        Thread.sleep(200);
        long checks = checkCount.get() - checksBefore;
        long maxChecks = (System.nanoTime() - startNanos) / 200_000 + 50;
        assertTrue(
                checks <= maxChecks,
                "checked " + checks + " times, but pauses of 0.2 ms allow only " + maxChecks);
        assertEquals(3, accepted.getCount());
        canAccept.set(true);
        assertTrue(accepted.await(10, TimeUnit.SECONDS));
        ProxyTestSupport.waitUntil(() -> thread.getState() == Thread.State.RUNNABLE);
        int checksWhenEmpty = checkCount.get();
        Thread.sleep(50);
        assertTrue(
                checkCount.get() - checksWhenEmpty <= 1,
                "canAccept is not checked while the accept queue is empty");
        acceptor.stop();
        for (Socket client : clients) {
            client.close();
        }
    }

    private static ProxyEvent event(int number) {
        return new ProxyEvent.NodeMaintenanceChanged(new NodeId(number), true, null);
    }

    private static int nodeNumber(ProxyEvent event) {
        return (int) ((ProxyEvent.NodeMaintenanceChanged) event).node().value();
    }
}

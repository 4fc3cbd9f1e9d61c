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
 * How the threads wait for one another. Guards against a thread that spins, or counts on time going
 * by while another works: where one thread of a process runs at a time neither ever ends.
 */
@Timeout(20)
class WaitingTest {
    @Test
    void whoFindsTheInboxFullSleepsUntilItsOwnerTakesAndNothingIsLostOrTurned() throws Exception {
        EventQueue inbox = new EventQueue(2);
        Thread poster =
                ProxyTestSupport.daemon(
                        () -> {
                            for (int i = 0; i < 5; i++) {
                                inbox.post(notice(i));
                            }
                            return null;
                        });
        ProxyTestSupport.waitUntil(() -> poster.getState() == Thread.State.WAITING);
        inbox.postUrgent(notice(9));
        assertEquals(9, number(inbox.poll()), "what staff wait for goes before a full queue");
        for (int i = 0; i < 5; i++) {
            assertEquals(i, number(inbox.poll(TimeUnit.SECONDS.toNanos(10))));
        }
        poster.join();
    }

    @Test
    void anIdleOwnerSleepsAndIsWokenByWhatIsUrgent() throws Exception {
        EventQueue inbox = new EventQueue(2);
        CompletableFuture<Integer> got = new CompletableFuture<>();
        Thread owner =
                ProxyTestSupport.daemon(
                        () -> {
                            ProxyEvent notice = inbox.poll(TimeUnit.SECONDS.toNanos(15));
                            got.complete(
                                    number(
                                            notice instanceof ProxyEvent.QueueWakeup
                                                    ? inbox.poll()
                                                    : notice));
                            return null;
                        });
        ProxyTestSupport.waitUntil(() -> owner.getState() == Thread.State.TIMED_WAITING);
        inbox.postUrgent(notice(7));
        assertEquals(7, got.get(10, TimeUnit.SECONDS));
    }

    @Test
    void whileItsTakerIsBehindAcceptingAsksNowAndThenAndLosesNoClient() throws Exception {
        AtomicBoolean mayTake = new AtomicBoolean();
        AtomicInteger asked = new AtomicInteger();
        CountDownLatch taken = new CountDownLatch(3);
        Acceptor accept =
                new Acceptor(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        16,
                        () -> {
                            asked.incrementAndGet();
                            return mayTake.get();
                        },
                        channel -> taken.countDown());
        Thread thread =
                ProxyTestSupport.daemon(
                        () -> {
                            accept.run();
                            return null;
                        });
        Socket[] clients = new Socket[3];
        for (int i = 0; i < clients.length; i++) {
            clients[i] = new Socket(accept.address().getAddress(), accept.address().getPort());
        }
        ProxyTestSupport.waitUntil(() -> asked.get() > 0);
        long from = System.nanoTime();
        int first = asked.get();
        Thread.sleep(200);
        long turns = asked.get() - first;
        long most = (System.nanoTime() - from) / 200_000 + 50;
        assertTrue(
                turns <= most, "asked " + turns + " times where a sleep of 0.2 ms allows " + most);
        assertEquals(3, taken.getCount());
        mayTake.set(true);
        assertTrue(taken.await(10, TimeUnit.SECONDS));
        ProxyTestSupport.waitUntil(() -> thread.getState() == Thread.State.RUNNABLE);
        int idle = asked.get();
        Thread.sleep(50);
        assertTrue(asked.get() - idle <= 1, "an empty queue is not asked about");
        accept.stop();
        for (Socket client : clients) {
            client.close();
        }
    }

    private static ProxyEvent notice(int number) {
        return new ProxyEvent.NodeMaintenanceChanged(new NodeId(number), true, null);
    }

    private static int number(ProxyEvent notice) {
        return (int) ((ProxyEvent.NodeMaintenanceChanged) notice).node().value();
    }
}

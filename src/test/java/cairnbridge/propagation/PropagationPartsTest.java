package cairnbridge.propagation;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.time.Ticks;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Unit tests of the components of the propagation state machines. */
class PropagationPartsTest {
    private static Position at(long version) {
        return new Position(1, version);
    }

    private static Change change(long version, boolean superseding) {
        return new Change(at(version), at(version - 1), superseding, new byte[10]);
    }

    private static Fragment fragment(long version, int index, int count, int bytes) {
        return new Fragment(at(version), at(version - 1), true, index, count, new byte[bytes]);
    }

    @Test
    void positionsAreOrderedByEpochBeforeVersion() {
        assertTrue(new Position(2, 1).isAfter(new Position(1, 9)));
        assertFalse(new Position(1, 9).isAfter(new Position(1, 9)));
    }

    @Test
    void theLogRemovesSupersededChangesAndTheOldestBeyondItsLimit() {
        RetainedLog log = new RetainedLog(PropagationSettings.CONFIGURATIONS);
        for (int i = 1; i <= 300; i++) {
            log.append(change(i, false));
        }
        assertEquals(PropagationSettings.CONFIGURATIONS.limits().logChanges(), log.size());
        assertTrue(log.isTooShortFor(at(3)));
        assertFalse(log.isTooShortFor(at(299)));
        log.append(change(301, true));
        assertEquals(1, log.size());
        assertEquals(10, log.bytes());
        assertFalse(log.isTooShortFor(at(3)));
    }

    @Test
    void aChangeOfANewEpochFollowsLaterVersionsOfTheOldEpoch() {
        Change first = new Change(new Position(2, 41), new Position(1, 40), false, new byte[1]);
        assertTrue(first.follows(new Position(1, 43)));
        assertTrue(first.follows(new Position(1, 40)));
        assertFalse(first.follows(new Position(1, 39)));
        assertFalse(first.follows(new Position(2, 41)));
    }

    @Test
    void fragmentsInAnyOrderAreAssembledOnce() {
        FragmentAssembler assembler = new FragmentAssembler(1_000);
        Fragment tail =
                new Fragment(at(5), at(4), true, 1, 2, "tail".getBytes(StandardCharsets.UTF_8));
        assertEquals(Optional.empty(), assembler.add(tail));
        assertEquals(Optional.empty(), assembler.add(tail));
        Change whole =
                assembler
                        .add(
                                new Fragment(
                                        at(5),
                                        at(4),
                                        true,
                                        0,
                                        2,
                                        "head ".getBytes(StandardCharsets.UTF_8)))
                        .orElseThrow();
        assertArrayEquals("head tail".getBytes(StandardCharsets.UTF_8), whole.body());
        assertEquals(0, assembler.bytes());
    }

    @Test
    void invalidFragmentsAreDroppedAndTheSizeIsLimited() {
        FragmentAssembler assembler = new FragmentAssembler(1_000);
        for (Fragment invalid :
                List.of(
                        fragment(5, 2, 2, 10),
                        fragment(5, -1, 2, 10),
                        fragment(5, 0, 0, 10),
                        fragment(5, 0, Integer.MAX_VALUE, 10),
                        fragment(5, 0, 1, 1_001))) {
            assertEquals(Optional.empty(), assembler.add(invalid));
        }
        assertEquals(Optional.empty(), assembler.add(fragment(5, 0, 3, 900)));
        assertEquals(Optional.empty(), assembler.add(fragment(5, 1, 3, 900)));
        assertEquals(0, assembler.bytes());
    }

    @Test
    void theReorderBufferReturnsChangesInOrderWithinItsLimit() {
        ReorderBuffer buffer = new ReorderBuffer(3 * (Fragment.HEADER_BYTES + 10));
        for (long version : List.of(4, 3, 5, 9)) {
            buffer.add(change(version, false));
        }
        assertEquals(at(2), buffer.missingTo());
        assertEquals(Optional.empty(), buffer.takeNext(at(1)));
        assertEquals(at(3), buffer.takeNext(at(2)).orElseThrow().position());
        assertEquals(at(4), buffer.takeNext(at(3)).orElseThrow().position());
        assertEquals(at(5), buffer.takeNext(at(4)).orElseThrow().position());
        assertEquals(Optional.empty(), buffer.takeNext(at(8)), "the buffer was full");
        assertEquals(0, buffer.bytes());
    }

    @Test
    void aMemberReportedTwiceCountsOnceAtItsLatestPosition() {
        ProgressTable table = new ProgressTable();
        table.add(progress("s", 5, 0b0111));
        table.add(progress("s", 7, 0b0001));
        assertEquals(0b0111, table.membersAt("s", at(5)));
        assertEquals(0b0001, table.membersAt("s", at(6)));
        assertEquals(0, table.membersAt("other", at(1)));
        List<SiteProgress.Step> steps = table.sites().get(0).steps();
        assertEquals(List.of(at(7), at(5)), steps.stream().map(step -> step.position()).toList());
        assertEquals(0b0110, steps.get(1).members());
    }

    @Test
    void mergedStepsNeverReportMoreThanIsInForce() {
        ProgressTable table = new ProgressTable();
        for (int i = 0; i < 20; i++) {
            table.add(progress("s", 100 + i, 1L << i));
        }
        SiteProgress reported = table.sites().get(0);
        assertTrue(reported.steps().size() <= ProgressTable.MAX_STEPS);
        ProgressTable received = new ProgressTable();
        received.add(reported);
        for (int i = 0; i < 20; i++) {
            long actual = table.membersAt("s", at(100 + i));
            assertEquals(0, received.membersAt("s", at(100 + i)) & ~actual);
        }
        assertEquals((1L << 20) - 1, received.membersAt("s", at(100)));
    }

    private static SiteProgress progress(String site, long version, long members) {
        return new SiteProgress(site, List.of(new SiteProgress.Step(at(version), members)));
    }

    @Test
    void anOutdatedReportIsIgnored() {
        Downstream downstream = new Downstream(new MemberId("m"), PropagationSettings.PURGES, 0);
        downstream.handleReport(report(1, 2, 9), 1);
        downstream.handleReport(report(1, 1, 3), 2);
        assertEquals(at(9), downstream.acknowledged());
        downstream.handleReport(report(2, 1, 3), 3);
        assertEquals(at(3), downstream.acknowledged(), "the sender has started a new generation");
    }

    private static Message.Report report(long generation, long sequence, long receivedUpTo) {
        return new Message.Report(
                1, generation, sequence, at(receivedUpTo), Position.NONE, List.of(), List.of());
    }

    @Test
    void aSubscriberIgnoresALowerEpochAndReportsTheHigherOne() {
        MemberId oldParent = new MemberId("old");
        MemberId newParent = new MemberId("new");
        Change latest = new Change(new Position(1, 60), new Position(1, 59), true, new byte[1]);
        RecordingHost host = new RecordingHost();
        Subscriber subscriber =
                new Subscriber(
                        new MemberId("m"),
                        1,
                        Optional.empty(),
                        List.of(oldParent, newParent),
                        Optional.of(latest),
                        PropagationSettings.CONFIGURATIONS,
                        host,
                        0);
        subscriber.handle(newParent, new Message.KeepAlive(new Message.Heartbeat(2, 1, 1)), 1);
        host.sent.clear();
        Fragment late =
                new Fragment(new Position(1, 61), new Position(1, 60), true, 0, 1, new byte[1]);
        subscriber.handle(
                oldParent, new Message.Changes(new Message.Heartbeat(1, 99, 0), List.of(late)), 2);
        assertEquals(List.of(), host.applied);
        assertEquals(2, subscriber.epoch());
        assertTrue(
                host.sent.stream()
                        .anyMatch(each -> each instanceof Message.Report && each.epoch() == 2));
    }

    @Test
    void aDuplicateOrReorderedChangeIsAppliedOnce() {
        MemberId parent = new MemberId("parent");
        RecordingHost host = new RecordingHost();
        Subscriber subscriber =
                new Subscriber(
                        new MemberId("m"),
                        1,
                        Optional.empty(),
                        List.of(parent),
                        Optional.empty(),
                        PropagationSettings.PURGES,
                        host,
                        0);
        Message.Heartbeat heartbeat = new Message.Heartbeat(1, 1, 0);
        for (long version : List.of(1, 3, 2, 1, 2, 3, 4, 4)) {
            Position previous = version == 1 ? Position.NONE : at(version - 1);
            Fragment fragment = new Fragment(at(version), previous, false, 0, 1, new byte[1]);
            subscriber.handle(parent, new Message.Changes(heartbeat, List.of(fragment)), version);
        }
        assertEquals(List.of(at(1), at(2), at(3), at(4)), host.applied);
    }

    /** A stub host that records sent messages and applied changes. */
    private static final class RecordingHost implements SubscriberHost {
        final List<Message> sent = new ArrayList<>();
        final List<Position> applied = new ArrayList<>();

        @Override
        public void send(MemberId to, Message message) {
            sent.add(message);
        }

        @Override
        public Optional<String> apply(Change change) {
            applied.add(change.position());
            return Optional.empty();
        }
    }

    @Test
    void reportsWithRejectionsFitIntoADatagram() {
        List<SiteProgress> sites = new ArrayList<>();
        List<Rejection> rejections = new ArrayList<>();
        for (int i = 0; i < 140; i++) {
            sites.add(progress("site" + i, 5, 1));
            rejections.add(new Rejection(new MemberId("m" + i), at(5), "why ".repeat(40)));
        }
        List<ReportSplitter.Part> parts = ReportSplitter.split(sites, rejections, 1_000);
        int reported = 0;
        for (ReportSplitter.Part part : parts) {
            int bytes = part.sites().stream().mapToInt(SiteProgress::size).sum();
            bytes += part.rejections().stream().mapToInt(Rejection::size).sum();
            assertTrue(bytes <= 1_000 && !part.rejections().isEmpty());
            reported += part.sites().size();
        }
        assertEquals(140, reported);
    }

    @Test
    void elapsedTimeContinuesAfterTheClockIsSetBack() {
        ElapsedClock clock = new ElapsedClock(1_000);
        assertEquals(10, clock.advance(1_010));
        assertEquals(10, clock.advance(500));
        assertEquals(15, clock.advance(505));
        assertEquals(510, clock.clockTimeAt(20));
    }

    /**
     * Guards against a wait of 1.5 s, the timeout of an established parent, for each candidate that
     * is down.
     */
    @Test
    void anUnansweringCandidateIsLostSoonerThanASilentParent() {
        PropagationSettings settings = PropagationSettings.CONFIGURATIONS;
        ParentSelector selector = new ParentSelector(settings, List.of(new MemberId("a")), 0);
        long attempts = 3 * settings.heartbeat().subscribeTimeout();
        assertFalse(selector.isLost(attempts - 1));
        assertTrue(selector.isLost(attempts));
        selector.handleHeartbeat(new MemberId("a"), new Message.Heartbeat(1, 1, 1), attempts);
        assertFalse(selector.isLost(attempts + settings.heartbeat().parentTimeout() - 1));
        assertTrue(selector.isLost(attempts + settings.heartbeat().parentTimeout()));
    }

    /**
     * A change must be in force within 3 s even if any four messages on the path to a member are
     * lost.
     */
    @Test
    void fourRetransmissionsOfAConfigurationTakeAtMostTwoSeconds() {
        PropagationSettings settings = PropagationSettings.CONFIGURATIONS;
        long span = settings.flow().retransmitTimeout();
        long total = 0;
        for (int i = 0; i < 4; i++) {
            total += span;
            span = Math.min(2 * span, settings.flow().maxRetransmitTimeout());
        }
        assertTrue(total <= 2 * Ticks.SECOND, "after " + total);
    }
}

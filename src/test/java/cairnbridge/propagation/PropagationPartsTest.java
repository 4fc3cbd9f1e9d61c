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

/** The parts of propagation by themselves. */
class PropagationPartsTest {
    private static Position at(long version) {
        return new Position(1, version);
    }

    private static Change change(long version, boolean superseding) {
        return new Change(at(version), at(version - 1), superseding, new byte[10]);
    }

    private static Fragment piece(long version, int index, int count, int bytes) {
        return new Fragment(at(version), at(version - 1), true, index, count, new byte[bytes]);
    }

    @Test
    void anEpochGoesBeforeAVersion() {
        assertTrue(new Position(2, 1).isAfter(new Position(1, 9)));
        assertFalse(new Position(1, 9).isAfter(new Position(1, 9)));
    }

    @Test
    void aLogForgetsWhatIsSupersededAndWhatIsTooMuch() {
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
    void aNewEpochGoesOnWhereOneHoldsMoreOfTheOldThanItsSource() {
        Change first = new Change(new Position(2, 41), new Position(1, 40), false, new byte[1]);
        assertTrue(first.follows(new Position(1, 43)));
        assertTrue(first.follows(new Position(1, 40)));
        assertFalse(first.follows(new Position(1, 39)));
        assertFalse(first.follows(new Position(2, 41)));
    }

    @Test
    void piecesInAnyOrderMakeTheChangeOnce() {
        FragmentAssembler assembly = new FragmentAssembler(1_000);
        Fragment tail =
                new Fragment(at(5), at(4), true, 1, 2, "tail".getBytes(StandardCharsets.UTF_8));
        assertEquals(Optional.empty(), assembly.add(tail));
        assertEquals(Optional.empty(), assembly.add(tail));
        Change whole =
                assembly.add(
                                new Fragment(
                                        at(5),
                                        at(4),
                                        true,
                                        0,
                                        2,
                                        "head ".getBytes(StandardCharsets.UTF_8)))
                        .orElseThrow();
        assertArrayEquals("head tail".getBytes(StandardCharsets.UTF_8), whole.body());
        assertEquals(0, assembly.bytes());
    }

    @Test
    void spoiltPiecesAreDroppedAndBoundsHold() {
        FragmentAssembler assembly = new FragmentAssembler(1_000);
        for (Fragment spoilt :
                List.of(
                        piece(5, 2, 2, 10),
                        piece(5, -1, 2, 10),
                        piece(5, 0, 0, 10),
                        piece(5, 0, Integer.MAX_VALUE, 10),
                        piece(5, 0, 1, 1_001))) {
            assertEquals(Optional.empty(), assembly.add(spoilt));
        }
        assertEquals(Optional.empty(), assembly.add(piece(5, 0, 3, 900)));
        assertEquals(Optional.empty(), assembly.add(piece(5, 1, 3, 900)));
        assertEquals(0, assembly.bytes());
    }

    @Test
    void aReorderBufferGivesInOrderAndKeepsItsBound() {
        ReorderBuffer buffer = new ReorderBuffer(3 * (Fragment.HEADER_BYTES + 10));
        for (long version : List.of(4, 3, 5, 9)) {
            buffer.add(change(version, false));
        }
        assertEquals(at(2), buffer.missingTo());
        assertEquals(Optional.empty(), buffer.takeNext(at(1)));
        assertEquals(at(3), buffer.takeNext(at(2)).orElseThrow().position());
        assertEquals(at(4), buffer.takeNext(at(3)).orElseThrow().position());
        assertEquals(at(5), buffer.takeNext(at(4)).orElseThrow().position());
        assertEquals(Optional.empty(), buffer.takeNext(at(8)), "there was no room for it");
        assertEquals(0, buffer.bytes());
    }

    @Test
    void aMemberReportedTwiceCountsOnceAndAtItsLatest() {
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
    void whatIsToldInFewerStepsNeverTellsTooMuch() {
        ProgressTable table = new ProgressTable();
        for (int i = 0; i < 20; i++) {
            table.add(progress("s", 100 + i, 1L << i));
        }
        SiteProgress told = table.sites().get(0);
        assertTrue(told.steps().size() <= ProgressTable.MAX_STEPS);
        ProgressTable heard = new ProgressTable();
        heard.add(told);
        for (int i = 0; i < 20; i++) {
            long honest = table.membersAt("s", at(100 + i));
            assertEquals(0, heard.membersAt("s", at(100 + i)) & ~honest);
        }
        assertEquals((1L << 20) - 1, heard.membersAt("s", at(100)));
    }

    private static SiteProgress progress(String site, long version, long members) {
        return new SiteProgress(site, List.of(new SiteProgress.Step(at(version), members)));
    }

    @Test
    void aReportThatWasOvertakenChangesNothing() {
        Downstream child = new Downstream(new MemberId("m"), PropagationSettings.PURGES, 0);
        child.handleReport(report(1, 2, 9), 1);
        child.handleReport(report(1, 1, 3), 2);
        assertEquals(at(9), child.acknowledged());
        child.handleReport(report(2, 1, 3), 3);
        assertEquals(at(3), child.acknowledged(), "it began a new life");
    }

    private static Message.Report report(long life, long number, long held) {
        return new Message.Report(1, life, number, at(held), Position.NONE, List.of(), List.of());
    }

    @Test
    void aFollowerThatKnowsOfAHigherEpochHeedsNoLowerOneAndSaysSo() {
        MemberId old = new MemberId("old");
        MemberId fresh = new MemberId("fresh");
        Change latest = new Change(new Position(1, 60), new Position(1, 59), true, new byte[1]);
        Recorder host = new Recorder();
        Subscriber follower =
                new Subscriber(
                        new MemberId("m"),
                        1,
                        Optional.empty(),
                        List.of(old, fresh),
                        Optional.of(latest),
                        PropagationSettings.CONFIGURATIONS,
                        host,
                        0);
        follower.handle(fresh, new Message.KeepAlive(new Message.Heartbeat(2, 1, 1)), 1);
        host.sent.clear();
        Fragment late =
                new Fragment(new Position(1, 61), new Position(1, 60), true, 0, 1, new byte[1]);
        follower.handle(
                old, new Message.Changes(new Message.Heartbeat(1, 99, 0), List.of(late)), 2);
        assertEquals(List.of(), host.applied);
        assertEquals(2, follower.epoch());
        assertTrue(
                host.sent.stream()
                        .anyMatch(each -> each instanceof Message.Report && each.epoch() == 2));
    }

    @Test
    void aChangeThatCameBeforeIsNotAppliedAgainByAnyWay() {
        MemberId parent = new MemberId("parent");
        Recorder host = new Recorder();
        Subscriber follower =
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
            Fragment piece = new Fragment(at(version), previous, false, 0, 1, new byte[1]);
            follower.handle(parent, new Message.Changes(heartbeat, List.of(piece)), version);
        }
        assertEquals(List.of(at(1), at(2), at(3), at(4)), host.applied);
    }

    /** A host that notes what it is asked. */
    private static final class Recorder implements SubscriberHost {
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
    void reportsAndTheirRefusalsFitADatagram() {
        List<SiteProgress> sites = new ArrayList<>();
        List<Rejection> refusals = new ArrayList<>();
        for (int i = 0; i < 140; i++) {
            sites.add(progress("site" + i, 5, 1));
            refusals.add(new Rejection(new MemberId("m" + i), at(5), "why ".repeat(40)));
        }
        List<ReportSplitter.Part> parts = ReportSplitter.split(sites, refusals, 1_000);
        int told = 0;
        for (ReportSplitter.Part part : parts) {
            int bytes = part.sites().stream().mapToInt(SiteProgress::size).sum();
            bytes += part.rejections().stream().mapToInt(Rejection::size).sum();
            assertTrue(bytes <= 1_000 && !part.rejections().isEmpty());
            told += part.sites().size();
        }
        assertEquals(140, told);
    }

    @Test
    void timeGoesOnFromWhereAClockIsSetTo() {
        ElapsedClock time = new ElapsedClock(1_000);
        assertEquals(10, time.advance(1_010));
        assertEquals(10, time.advance(500));
        assertEquals(15, time.advance(505));
        assertEquals(510, time.clockTimeAt(20));
    }

    /** Guards against 1.5 s of silence spent on each candidate that is down. */
    @Test
    void aCandidateThatNeverAnswersIsGivenUpBeforeAParentThatFallsSilent() {
        PropagationSettings settings = PropagationSettings.CONFIGURATIONS;
        ParentSelector choice = new ParentSelector(settings, List.of(new MemberId("a")), 0);
        long attempts = 3 * settings.heartbeat().subscribeTimeout();
        assertFalse(choice.isLost(attempts - 1));
        assertTrue(choice.isLost(attempts));
        choice.handleHeartbeat(new MemberId("a"), new Message.Heartbeat(1, 1, 1), attempts);
        assertFalse(choice.isLost(attempts + settings.heartbeat().parentTimeout() - 1));
        assertTrue(choice.isLost(attempts + settings.heartbeat().parentTimeout()));
    }

    /** A change is to be in force within 3 s, whichever of four messages to a member are lost. */
    @Test
    void fourRetransmissionsOfAConfigurationFitIntoTwoSeconds() {
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

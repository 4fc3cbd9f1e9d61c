package cairnbridge.scale.control;

import cairnbridge.scale.control.HollowReply.Agreement;
import cairnbridge.scale.control.HollowReply.ChangeMade;
import cairnbridge.scale.control.HollowReply.Done;
import cairnbridge.scale.control.HollowReply.Knowledge;
import cairnbridge.scale.control.HollowReply.Started;
import cairnbridge.scale.control.HollowReply.Usage;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Plays one fleet of hollow proxies over child processes and measures it. */
final class ControlRun implements AutoCloseable {
    /** The life that members begin with. */
    static final long FIRST_LIFE = 1;

    /** The members that all others ask at their join; no change strikes them. */
    static final int SEED_MEMBERS = 3;

    private static final int WAVE = 50;
    private static final long WAVE_MILLIS = 500;
    private static final long POLL_MILLIS = 200;
    private static final long AGREEMENT_SECONDS = 60;
    private static final long RUMOURS_SECONDS = 60;
    private static final long KNOWN_SECONDS = 45;
    private static final long BETWEEN_CHANGES_MILLIS = 1_000;
    private static final double NANOS = 1e9;
    private static final long SECOND_MILLIS = 1_000;

    /** Is told each result as soon as it is there, so that a run that is cut short leaves some. */
    interface Listener {
        /** The fleet was measured at rest. */
        void quiet(Map<String, Number> figures) throws IOException;

        /** A change was made and waited for. */
        void changed(ChangeResult change) throws IOException;
    }

    private final ControlSettings settings;
    private final Listener listener;
    private final List<HollowChild> children = new ArrayList<>();
    private final Map<Integer, Long> lives = new HashMap<>();
    private final Map<String, Number> figures = new LinkedHashMap<>();
    private List<String> seeds = List.of();

    /** How many members run and are not frozen. */
    private int running;

    /** Starts the processes, without members yet. */
    ControlRun(ControlSettings settings, long heapLimit, Listener listener)
            throws IOException, InterruptedException {
        this.settings = settings;
        this.listener = listener;
        try {
            for (int i = 0; i < settings.processes(); i++) {
                children.add(new HollowChild(heapLimit));
            }
            askAll(new HollowCommand.Configure(settings.hollow()), Done.class);
        } catch (IOException | InterruptedException | RuntimeException e) {
            close();
            throw e;
        }
    }

    /** Starts the fleet, measures it at rest and then through changes. */
    PlayResult play() throws IOException, InterruptedException {
        figures.put(
                "machine_load_average_before",
                ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
        startMembers();
        awaitAgreement();
        awaitEndOfRumours();
        if (settings.hollow().changingFigures()) {
            askAll(new HollowCommand.ChangeFigures(), Done.class);
        }
        Thread.sleep(settings.settleSeconds() * SECOND_MILLIS);
        measureHeap();
        measureQuiet();
        listener.quiet(Collections.unmodifiableMap(figures));
        List<ChangeResult> changes = measureChanges();
        return new PlayResult(figures, changes);
    }

    private void startMembers() throws IOException, InterruptedException {
        int members = settings.hollow().members();
        List<String> first = new ArrayList<>();
        for (int number = 0; number < Math.min(SEED_MEMBERS, members); number++) {
            first.addAll(start(List.of(number), first.isEmpty() ? List.of() : first));
        }
        seeds = List.copyOf(first);
        for (int from = first.size(); from < members; from += WAVE) {
            startWave(from, Math.min(members, from + WAVE));
            Thread.sleep(WAVE_MILLIS);
        }
        running = members;
    }

    private List<String> start(List<Integer> numbers, List<String> asked)
            throws IOException, InterruptedException {
        HollowChild child = childOf(numbers.get(0));
        return child.ask(new HollowCommand.StartMembers(numbers, asked), Started.class).endpoints();
    }

    private void startWave(int from, int to) throws IOException, InterruptedException {
        Map<HollowChild, List<Integer>> shares = new LinkedHashMap<>();
        for (int number = from; number < to; number++) {
            shares.computeIfAbsent(childOf(number), child -> new ArrayList<>()).add(number);
        }
        for (Map.Entry<HollowChild, List<Integer>> share : shares.entrySet()) {
            share.getKey().send(new HollowCommand.StartMembers(share.getValue(), seeds));
        }
        for (HollowChild child : shares.keySet()) {
            child.receive(Started.class);
        }
    }

    private HollowChild childOf(int number) {
        return children.get(number % children.size());
    }

    private void awaitAgreement() throws IOException, InterruptedException {
        long from = System.nanoTime();
        int agreeing = agreeing();
        while (agreeing < running && secondsSince(from) < AGREEMENT_SECONDS) {
            Thread.sleep(POLL_MILLIS);
            agreeing = agreeing();
        }
        figures.put("seconds_to_agreement", secondsSince(from));
        figures.put("members_agreeing", agreeing);
    }

    private int agreeing() throws IOException, InterruptedException {
        return askAll(new HollowCommand.AskAgreement(running), Agreement.class).stream()
                .mapToInt(Agreement::agreeing)
                .sum();
    }

    /** Guards against joins that are still passed on while the fleet is measured at rest. */
    private void awaitEndOfRumours() throws IOException, InterruptedException {
        long from = System.nanoTime();
        int waiting = rumoursWaiting();
        while (waiting > 0 && secondsSince(from) < RUMOURS_SECONDS) {
            Thread.sleep(POLL_MILLIS);
            waiting = rumoursWaiting();
        }
        figures.put("seconds_to_end_of_rumours", secondsSince(from));
        figures.put("rumours_waiting", waiting);
    }

    private int rumoursWaiting() throws IOException, InterruptedException {
        return askAll(new HollowCommand.AskAgreement(running), Agreement.class).stream()
                .mapToInt(Agreement::rumoursWaiting)
                .sum();
    }

    private void measureHeap() throws IOException, InterruptedException {
        Usage usage = usage(true);
        figures.put(
                "heap_bytes_per_member", (double) usage.heapBytes() / settings.hollow().members());
        Thread.sleep(SECOND_MILLIS); // The pause of the collection is not to be measured.
    }

    private Usage usage(boolean collectGarbage) throws IOException, InterruptedException {
        return askAll(new HollowCommand.AskUsage(collectGarbage), Usage.class).stream()
                .reduce(Usage::plus)
                .orElseThrow();
    }

    private void measureQuiet() throws IOException, InterruptedException {
        Usage before = usage(false);
        long datagrams = DatagramCounter.sent();
        Thread.sleep(settings.quietSeconds() * SECOND_MILLIS);
        record("quiet", before, datagrams);
        figures.put("members_agreeing_after_quiet", agreeing());
    }

    private void record(String prefix, Usage before, long datagramsBefore)
            throws IOException, InterruptedException {
        Usage after = usage(false);
        long datagrams = DatagramCounter.sent() - datagramsBefore;
        figures.putAll(
                UsageRates.between(prefix, before, after, datagrams, settings.hollow().members()));
    }

    private List<ChangeResult> measureChanges() throws IOException, InterruptedException {
        HollowSettings hollow = settings.hollow();
        ChangeChooser chooser = new ChangeChooser(hollow.members(), SEED_MEMBERS, hollow.seed());
        List<ChangeResult> results = new ArrayList<>();
        Usage before = usage(false);
        long datagrams = DatagramCounter.sent();
        for (int i = 0; i < settings.changes(); i++) {
            ChangeResult result = change(chooser.next());
            listener.changed(result);
            results.add(result);
            Thread.sleep(BETWEEN_CHANGES_MILLIS);
        }
        record("changes", before, datagrams);
        return results;
    }

    private ChangeResult change(ChangeChooser.Choice choice)
            throws IOException, InterruptedException {
        long life = life(choice);
        askAll(new HollowCommand.WatchChange(choice.subject(), choice.kind(), life), Done.class);
        ChangeMade made =
                childOf(choice.subject())
                        .ask(
                                new HollowCommand.MakeChange(
                                        choice.subject(), choice.kind(), life, seeds),
                                ChangeMade.class);
        running += isBack(choice.kind()) ? 1 : -1;
        int expected = isBack(choice.kind()) ? running - 1 : running;
        return awaitKnowledge(choice.kind(), expected, made.atNanos());
    }

    private long life(ChangeChooser.Choice choice) {
        int more = choice.kind() == ChangeKind.START ? 1 : 0;
        return lives.merge(choice.subject(), FIRST_LIFE + more, (life, first) -> life + more);
    }

    private static boolean isBack(ChangeKind kind) {
        return kind == ChangeKind.START || kind == ChangeKind.THAW;
    }

    private ChangeResult awaitKnowledge(ChangeKind kind, int expected, long madeAt)
            throws IOException, InterruptedException {
        ChangeResult result = knowledge(kind, expected, madeAt);
        while (!result.isKnownToAll() && secondsSince(madeAt) < KNOWN_SECONDS) {
            Thread.sleep(POLL_MILLIS);
            result = knowledge(kind, expected, madeAt);
        }
        return result;
    }

    private ChangeResult knowledge(ChangeKind kind, int expected, long madeAt)
            throws IOException, InterruptedException {
        List<Double> seconds =
                askAll(new HollowCommand.AskKnowledge(), Knowledge.class).stream()
                        .flatMap(reply -> reply.knownAtNanos().stream())
                        .map(at -> (at - madeAt) / NANOS)
                        .toList();
        return new ChangeResult(kind, expected, seconds);
    }

    private static double secondsSince(long nanos) {
        return (System.nanoTime() - nanos) / NANOS;
    }

    private <T extends HollowReply> List<T> askAll(HollowCommand command, Class<T> kind)
            throws IOException, InterruptedException {
        return HollowChild.askAll(children, command, kind);
    }

    /** Ends all processes. */
    @Override
    public void close() {
        children.forEach(HollowChild::close);
    }
}

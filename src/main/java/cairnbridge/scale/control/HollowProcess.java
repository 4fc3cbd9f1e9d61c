package cairnbridge.scale.control;

import cairnbridge.fleet.member.Endpoint;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Holds a share of the hollow proxies and carries out commands until its input ends. */
public final class HollowProcess {
    /** Held, as loggers that nobody holds lose their level. */
    private static final Logger LOG = Logger.getLogger("cairnbridge");

    private final BufferedReader in;
    private final PrintStream out;
    private HollowMembers members;

    /** Commands come in and replies go out as JSON lines. */
    public HollowProcess(InputStream in, PrintStream out) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
        this.out = out;
    }

    /** Answers each command in turn; returns when there are no more. */
    public void run() throws IOException, InterruptedException {
        LOG.setLevel(Level.WARNING);
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            out.println(HollowMessages.write(answer(line)));
            out.flush();
        }
        if (members != null) {
            members.stop();
        }
    }

    private HollowReply answer(String line) throws InterruptedException {
        try {
            return carryOut(HollowMessages.readCommand(line));
        } catch (IOException | RuntimeException e) {
            return new HollowReply.Failed(e.toString());
        }
    }

    private HollowReply carryOut(HollowCommand command) throws IOException, InterruptedException {
        if (command instanceof HollowCommand.Configure configure) {
            members = new HollowMembers(configure.settings());
            return new HollowReply.Done();
        }
        if (command instanceof HollowCommand.StartMembers start) {
            return start(start);
        }
        if (command instanceof HollowCommand.ChangeFigures) {
            members.changeFigures();
            return new HollowReply.Done();
        }
        if (command instanceof HollowCommand.WatchChange watch) {
            members.watch(
                    new ChangeWatch(
                            MemberIdentity.of(watch.subject()).id(), watch.kind(), watch.life()));
            return new HollowReply.Done();
        }
        if (command instanceof HollowCommand.MakeChange change) {
            return new HollowReply.ChangeMade(
                    members.change(
                            change.subject(),
                            change.kind(),
                            change.life(),
                            endpoints(change.seeds())));
        }
        if (command instanceof HollowCommand.AskAgreement ask) {
            return new HollowReply.Agreement(
                    members.agreeing(ask.alive()), members.running(), members.rumoursWaiting());
        }
        if (command instanceof HollowCommand.AskUsage ask) {
            return members.usage(ask.collectGarbage());
        }
        return new HollowReply.Knowledge(members.knownAtNanos());
    }

    private HollowReply start(HollowCommand.StartMembers start) throws IOException {
        List<String> places = new ArrayList<>();
        for (int number : start.numbers()) {
            places.add(
                    members.start(number, ControlRun.FIRST_LIFE, endpoints(start.seeds()))
                            .toString());
        }
        return new HollowReply.Started(places);
    }

    private static List<Endpoint> endpoints(List<String> texts) {
        return texts.stream().map(Endpoint::parse).toList();
    }
}

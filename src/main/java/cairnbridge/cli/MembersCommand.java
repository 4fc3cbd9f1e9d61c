package cairnbridge.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Asks a proxy's door what it holds of its fleet. */
@Command(
        name = "members",
        mixinStandardHelpOptions = true,
        description = "Shows the members of a proxy's fleet, as that proxy's door tells them.")
final class MembersCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(
            names = "--door",
            required = true,
            paramLabel = "ADDR",
            description = "Address and port of the door.")
    private String door;

    @Option(names = "--json", description = "One line of JSON in place of a table.")
    private boolean json;

    @Parameters(arity = "0..1", paramLabel = "ID", description = "One member only, as JSON.")
    private String id;

    @Override
    public Integer call() {
        String call = id != null ? "member " + id : json ? "members-json" : "members";
        return DoorCall.make(spec, door, call);
    }
}

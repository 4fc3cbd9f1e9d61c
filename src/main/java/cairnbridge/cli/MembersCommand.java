package cairnbridge.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Prints one running proxy's view of the fleet membership. */
@Command(
        name = "members",
        mixinStandardHelpOptions = true,
        description = "Shows the members of a proxy's fleet, as that proxy sees them.")
final class MembersCommand implements Callable<Integer> {
    @Mixin private AdminCall admin;

    @Option(names = "--json", description = "Prints one line of JSON instead of a table.")
    private boolean json;

    @Parameters(
            arity = "0..1",
            paramLabel = "ID",
            description = "Prints only this member, as JSON.")
    private String id;

    @Override
    public Integer call() {
        return admin.send(request());
    }

    private String request() {
        if (id != null) {
            return "member " + id;
        }
        return json ? "members-json" : "members";
    }
}

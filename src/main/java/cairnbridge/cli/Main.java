package cairnbridge.cli;

import cairnbridge.adapter.Adapter;
import cairnbridge.adapter.Malformed;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The command line of the service. */
@Command(name = "cairnbridge", mixinStandardHelpOptions = true, version = "cairnbridge 0.1.0",
        description = "Routes ops to a fleet of cache servers.", subcommands = Main.AdapterCommand.class)
public final class Main implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    public static void main(String[] args) {
        System.exit(new CommandLine(new Main()).execute(args));
    }

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
    }

    @Command(name = "adapter", description = "Speaks the bench's wire on standard input and output.")
    static final class AdapterCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws Exception {
            try {
                new Adapter(System.in, System.out).run();
                return 0;
            } catch (Malformed e) {
                spec.commandLine().getErr().println(e.getMessage());
                return 2;
            }
        }
    }
}

package cairnbridge.cli;

import picocli.CommandLine.Option;

/** The option for the seed that all random choices of a run derive from. */
final class SeedOption {
    @Option(names = "--seed", defaultValue = "1", description = "Random seed: ${DEFAULT-VALUE}.")
    private long seed;

    /** Returns the seed given on the command line, or 1 by default. */
    long value() {
        return seed;
    }
}

package cairnbridge.cli;

import picocli.CommandLine.Option;

/** The option for the seed that all random choices of a run derive from. */
final class SeedOption {
    @Option(names = "--seed", defaultValue = "1", description = "Of all chance: ${DEFAULT-VALUE}.")
    private long seed;

    /** The seed. */
    long value() {
        return seed;
    }
}

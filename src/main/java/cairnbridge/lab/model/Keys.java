package cairnbridge.lab.model;

import cairnbridge.drill.standin.Clients;
import cairnbridge.hash.SplitMix64;
import java.util.random.RandomGenerator;

/** Which keys are asked for: the drill's choice, told apart from small numbers. */
public final class Keys {
    private final int many;

    /** As many keys as given. */
    public Keys(int many) {
        this.many = many;
    }

    /** Whether the next request is a write. */
    public boolean writes(RandomGenerator chance) {
        return Clients.writes(chance);
    }

    /** The key of the next request. */
    public long next(RandomGenerator chance) {
        return SplitMix64.mix(Clients.key(chance, many));
    }
}

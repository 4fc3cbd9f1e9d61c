package cairnbridge.hash;

/**
 * The 64-bit FNV-1a hash over the UTF-16 code units of a string. Processes identify node names,
 * zone names and request keys by this hash.
 */
public final class Fnv1a {
    private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    private Fnv1a() {}

    /** Returns the hash of a string. */
    public static long hash(String text) {
        long hash = OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * PRIME;
        }
        return hash;
    }
}

package cairnbridge.fleet.member;

/**
 * The name of a member. It stays the same over restarts of the process.
 *
 * @param name 1 to 64 characters: ASCII letters, digits, dots, dashes and underscores
 */
public record MemberId(String name) implements Comparable<MemberId> {
    private static final int MAX_LENGTH = 64;

    /** Checks the name. */
    public MemberId {
        if (!isValidName(name)) {
            throw new IllegalArgumentException("not a valid member name: " + name);
        }
    }

    /** Whether a text can be the name of a member. */
    public static boolean isValidName(String text) {
        return text != null
                && !text.isEmpty()
                && text.length() <= MAX_LENGTH
                && text.chars().allMatch(MemberId::isValidCharacter);
    }

    private static boolean isValidCharacter(int character) {
        return (character >= 'a' && character <= 'z')
                || (character >= 'A' && character <= 'Z')
                || (character >= '0' && character <= '9')
                || ".-_".indexOf(character) >= 0;
    }

    @Override
    public int compareTo(MemberId other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}

package cairnbridge.drill.link;

/**
 * What one way between two processes does to what passes. loss, doubled and reordered are parts of
 * datagrams from 0 to 1; on a stream a loss is a delay, as TCP sends again. Delays in milliseconds.
 */
public record LinkRule(boolean cut, double loss, double doubled, double reordered, long delay) {
    public static final LinkRule CLEAR = new LinkRule(false, 0, 0, 0, 0);

    /** The rule with nothing passing, or ending that. */
    public LinkRule cut(boolean on) {
        return new LinkRule(on, loss, doubled, reordered, delay);
    }

    /** The rule with another loss. */
    public LinkRule loses(double part) {
        return new LinkRule(cut, part, doubled, reordered, delay);
    }

    /** The rule with another share of duplicates. */
    public LinkRule doubles(double part) {
        return new LinkRule(cut, loss, part, reordered, delay);
    }

    /** The rule with another share out of order. */
    public LinkRule reorders(double part) {
        return new LinkRule(cut, loss, doubled, part, delay);
    }

    /** The rule with another delay. */
    public LinkRule delays(long millis) {
        return new LinkRule(cut, loss, doubled, reordered, millis);
    }
}

package cairnbridge.drill.link;

/**
 * What one way between two processes does to what passes. loss, doubled and reordered are parts of
 * datagrams from 0 to 1; on a stream a loss is a delay, as TCP sends again. Delays in milliseconds.
 */
public record LinkRule(boolean cut, double loss, double doubled, double reordered, long delay) {
    public static final LinkRule CLEAR = new LinkRule(false, 0, 0, 0, 0);

    public LinkRule cut(boolean on) {
        return new LinkRule(on, loss, doubled, reordered, delay);
    }

    public LinkRule loses(double part) {
        return new LinkRule(cut, part, doubled, reordered, delay);
    }

    public LinkRule doubles(double part) {
        return new LinkRule(cut, loss, part, reordered, delay);
    }

    public LinkRule reorders(double part) {
        return new LinkRule(cut, loss, doubled, part, delay);
    }

    public LinkRule delays(long millis) {
        return new LinkRule(cut, loss, doubled, reordered, millis);
    }
}

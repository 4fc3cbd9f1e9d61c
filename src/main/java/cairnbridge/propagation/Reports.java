package cairnbridge.propagation;

import java.util.ArrayList;
import java.util.List;

/** Cuts what is to be reported of sites and refusals into parts that fit a datagram. */
final class Reports {
    /** Refusals told at most. */
    static final int MAXIMUM_REFUSALS = 16;

    /** What goes into one message. */
    record Part(List<SiteProgress> sites, List<Refusal> refusals) {}

    private Reports() {}

    /** At least one part; each has the refusals, of which at most half a message is told. */
    static List<Part> split(List<SiteProgress> sites, List<Refusal> refusals, int messageBytes) {
        List<Refusal> told = firstThatFit(refusals, messageBytes / 2);
        int toldBytes = told.stream().mapToInt(Refusal::size).sum();
        List<Part> parts = new ArrayList<>();
        List<SiteProgress> some = new ArrayList<>();
        int bytes = toldBytes;
        for (SiteProgress site : sites) {
            if (!some.isEmpty() && bytes + site.size() > messageBytes) {
                parts.add(new Part(some, told));
                some = new ArrayList<>();
                bytes = toldBytes;
            }
            some.add(site);
            bytes += site.size();
        }
        parts.add(new Part(some, told));
        return parts;
    }

    private static List<Refusal> firstThatFit(List<Refusal> refusals, int bytes) {
        List<Refusal> told = new ArrayList<>();
        int left = bytes;
        for (Refusal refusal : refusals) {
            left -= refusal.size();
            if (told.size() == MAXIMUM_REFUSALS || left < 0) {
                break;
            }
            told.add(refusal);
        }
        return told;
    }
}

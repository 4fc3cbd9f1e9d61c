package cairnbridge.propagation;

import java.util.ArrayList;
import java.util.List;

/** Splits a report of site progress and rejections into parts that each fit into one datagram. */
final class ReportSplitter {
    /** The maximum number of rejections in one report. */
    static final int MAX_REJECTIONS = 16;

    /** The sites and rejections of one message. */
    record Part(List<SiteProgress> sites, List<Rejection> rejections) {}

    private ReportSplitter() {}

    /**
     * Returns at least one part. Each part repeats the rejections, which use at most half a
     * message.
     */
    static List<Part> split(
            List<SiteProgress> sites, List<Rejection> rejections, int messageBytes) {
        List<Rejection> reported = firstThatFit(rejections, messageBytes / 2);
        int reportedBytes = reported.stream().mapToInt(Rejection::size).sum();
        List<Part> parts = new ArrayList<>();
        List<SiteProgress> current = new ArrayList<>();
        int bytes = reportedBytes;
        for (SiteProgress site : sites) {
            if (!current.isEmpty() && bytes + site.size() > messageBytes) {
                parts.add(new Part(current, reported));
                current = new ArrayList<>();
                bytes = reportedBytes;
            }
            current.add(site);
            bytes += site.size();
        }
        parts.add(new Part(current, reported));
        return parts;
    }

    private static List<Rejection> firstThatFit(List<Rejection> rejections, int bytes) {
        List<Rejection> reported = new ArrayList<>();
        int remaining = bytes;
        for (Rejection rejection : rejections) {
            remaining -= rejection.size();
            if (reported.size() == MAX_REJECTIONS || remaining < 0) {
                break;
            }
            reported.add(rejection);
        }
        return reported;
    }
}

package cairnbridge.lab.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * One page about runs and experiments: call write with the files that the lab wrote. The page needs
 * nothing beside itself; the same files give the same page.
 */
public final class Report {
    private static final String STYLE =
            "body{font:15px/1.5 sans-serif;max-width:60rem;margin:2rem auto;padding:0"
                + " 1rem;color:#222}img{max-width:100%;border:1px solid"
                + " #ddd}table{border-collapse:collapse;margin:1rem 0}td,th{border:1px solid"
                + " #ccc;padding:.2rem"
                + " .6rem;text-align:left}.bad{color:#b00020;font-weight:bold}figure{margin:1.5rem"
                + " 0}figcaption{color:#555}";

    private Report() {}

    /**
     * Writes the page, and each picture as PNG where a folder is given.
     *
     * @return the names of the pictures
     */
    public static List<String> write(
            String title, List<Path> files, Path page, Optional<Path> pictures) throws IOException {
        StringBuilder html =
                new StringBuilder(
                                "<!DOCTYPE html>\n<html lang=\"en\"><head>"
                                        + "<meta charset=\"utf-8\"><title>")
                        .append(text(title))
                        .append("</title><style>")
                        .append(STYLE)
                        .append("</style></head>\n<body><h1>")
                        .append(text(title))
                        .append("</h1>\n");
        List<String> names = new ArrayList<>();
        for (Path file : files) {
            Lines lines = Lines.read(file);
            html.append("<h2>").append(text(lines.name())).append("</h2>\n");
            html.append(lines.isRun() ? sums(lines.sums()) : commits(lines));
            for (Plot plot : lines.isRun() ? RunPlots.of(lines) : ResultPlots.of(lines)) {
                names.add(plot.name());
                html.append(figure(plot));
                if (pictures.isPresent()) {
                    Files.createDirectories(pictures.get());
                    Files.write(pictures.get().resolve(plot.name() + ".png"), plot.png());
                }
            }
        }
        Files.writeString(page, html.append("</body></html>\n"));
        return names;
    }

    private static String figure(Plot plot) {
        String picture =
                Base64.getEncoder().encodeToString(plot.svg().getBytes(StandardCharsets.UTF_8));
        return "<figure><img alt=\""
                + text(plot.title())
                + "\" src=\"data:image/svg+xml;base64,"
                + picture
                + "\"><figcaption>"
                + text(plot.says())
                + "</figcaption></figure>\n";
    }

    private static String sums(JsonNode sums) {
        StringBuilder html = new StringBuilder("<table>");
        row(
                html,
                "all that had to hold",
                sums.path("held").asBoolean() ? "held" : "DID NOT HOLD",
                !sums.path("held").asBoolean());
        row(
                html,
                "served",
                String.format(
                        Locale.ROOT,
                        "%.4f of %d ops",
                        sums.path("service").asDouble(),
                        sums.path("asked").asLong()),
                false);
        row(
                html,
                "median, and 99 of 100 within",
                String.format(
                        Locale.ROOT,
                        "%.1f ms, %.1f ms",
                        sums.path("median-ms").asDouble(),
                        sums.path("p99-ms").asDouble()),
                false);
        row(
                html,
                "fetches, turned away by the origin",
                sums.path("fetches").asLong() + ", " + sums.path("turned-away").asLong(),
                false);
        row(html, "effects twice", sums.path("twice").asText(), sums.path("twice").asLong() > 0);
        row(
                html,
                "cold caches pushed over",
                sums.path("felled").asText(),
                sums.path("felled").asLong() > 0);
        row(
                html,
                "simulated",
                String.format(
                        Locale.ROOT,
                        "%.1f s, %d events",
                        sums.path("simulated-ms").asDouble() / 1000,
                        sums.path("events").asLong()),
                false);
        sums.path("crashes")
                .properties()
                .forEach(
                        each ->
                                row(
                                        html,
                                        each.getKey() + " has crashed",
                                        each.getValue().asText(),
                                        true));
        html.append("</table>\n<table><tr><th>line</th><th>step</th><th></th></tr>");
        sums.path("checks")
                .forEach(
                        each ->
                                html.append("<tr><td>")
                                        .append(each.path("line").asInt())
                                        .append("</td><td>")
                                        .append(text(each.path("step").asText()))
                                        .append("</td><td")
                                        .append(
                                                each.path("held").asBoolean()
                                                        ? ">"
                                                        : " class=\"bad\">DOES NOT HOLD, ")
                                        .append(text(each.path("figures").asText()))
                                        .append("</td></tr>"));
        return html.append("</table>\n").toString();
    }

    private static void row(StringBuilder html, String what, String figure, boolean bad) {
        html.append("<tr><th>")
                .append(text(what))
                .append("</th><td")
                .append(bad ? " class=\"bad\">" : ">")
                .append(text(figure))
                .append("</td></tr>");
    }

    /** How many runs there were, of which version, and which did not hold or crashed. */
    private static String commits(Lines results) {
        StringBuilder html =
                new StringBuilder("<p>")
                        .append(results.lines().size())
                        .append(" runs of ")
                        .append(text(results.lines().get(0).path("commit").asText("unknown")))
                        .append("</p>\n<ul>");
        for (JsonNode line : results.lines()) {
            if (!line.path("sums").path("held").asBoolean(true)) {
                html.append("<li class=\"bad\">")
                        .append(text(line.path("key").asText()))
                        .append(
                                line.path("sums").path("crashes").size() > 0
                                        ? ": a proxy has crashed"
                                        : ": did not hold")
                        .append("</li>");
            }
        }
        return html.append("</ul>\n").toString();
    }

    private static String text(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}

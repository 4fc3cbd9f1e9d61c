package cairnbridge.lab.report;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.awt.Rectangle;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.text.NumberFormat;
import java.util.Locale;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogAxis;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.axis.NumberTickUnit;
import org.jfree.chart.axis.ValueAxis;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYItemRenderer;
import org.jfree.chart.title.TextTitle;
import org.jfree.data.xy.XYDataset;
import org.jfree.svg.SVGGraphics2D;

/**
 * One picture of a report: make one of its data, then take it as SVG or as PNG. Needs no screen.
 *
 * @param name for a file's name
 * @param says what is to be seen, one sentence
 */
record Plot(String name, String says, JFreeChart chart) {
    private static final int WIDTH = 860;
    private static final int HEIGHT = 330;

    /** Told apart by colour-blind eyes as well (Okabe and Ito 2008). */
    private static final Color[] COLOURS = {
        new Color(0x0072B2),
        new Color(0xD55E00),
        new Color(0x009E73),
        new Color(0xCC79A7),
        new Color(0xE69F00),
        new Color(0x56B4E9),
        new Color(0x555555)
    };

    static Color colour(int number) {
        return COLOURS[number % COLOURS.length];
    }

    /** A plot of numbers against numbers, in the report's dress. */
    static Plot of(
            String name,
            String title,
            String says,
            XYDataset data,
            ValueAxis across,
            ValueAxis up,
            XYItemRenderer renderer) {
        for (int i = 0; i < data.getSeriesCount(); i++) {
            renderer.setSeriesPaint(i, colour(i));
            renderer.setSeriesStroke(
                    i, new BasicStroke(1.8f, BasicStroke.CAP_ROUND, BasicStroke.JOIN_ROUND));
        }
        XYPlot plot = new XYPlot(data, across, up, renderer);
        plot.setBackgroundPaint(Color.WHITE);
        plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        plot.setOutlineVisible(false);
        JFreeChart chart =
                new JFreeChart(title, new Font(Font.SANS_SERIF, Font.BOLD, 15), plot, true);
        chart.setBackgroundPaint(Color.WHITE);
        chart.getLegend().setFrame(org.jfree.chart.block.BlockBorder.NONE);
        return new Plot(name, says, chart);
    }

    /** An axis that begins at zero. */
    static NumberAxis fromZero(String label) {
        NumberAxis axis = new NumberAxis(label);
        axis.setAutoRangeIncludesZero(true);
        axis.setLowerMargin(0);
        return axis;
    }

    /** Powers of two, each with its tick. */
    static LogAxis powers(String label, double least) {
        LogAxis axis = new LogAxis(label);
        axis.setBase(2);
        axis.setSmallestValue(least);
        axis.setTickUnit(
                new NumberTickUnit(1, NumberFormat.getInstance(Locale.ROOT), 0), true, false);
        return axis;
    }

    /** Seconds of simulated time, over the whole of a run. */
    static NumberAxis seconds() {
        NumberAxis axis = new NumberAxis("simulated time, s");
        axis.setAutoRangeIncludesZero(false);
        axis.setLowerMargin(0);
        axis.setUpperMargin(0.01);
        return axis;
    }

    String svg() {
        SVGGraphics2D picture = new SVGGraphics2D(WIDTH, HEIGHT);
        picture.setDefsKeyPrefix(name); // Else it is the time, and no two pages are the same.
        chart.draw(picture, new Rectangle(WIDTH, HEIGHT));
        return picture.getSVGElement();
    }

    byte[] png() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            ChartUtils.writeChartAsPNG(out, chart, WIDTH, HEIGHT);
        } catch (IOException e) {
            throw new UncheckedIOException(e); // There is no I/O in it.
        }
        return out.toByteArray();
    }

    String title() {
        TextTitle title = chart.getTitle();
        return title == null ? name : title.getText();
    }
}

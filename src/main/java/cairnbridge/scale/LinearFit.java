package cairnbridge.scale;

import java.util.List;

/**
 * A line fitted through measured points by least squares.
 *
 * @param intercept the fitted value at size 0
 * @param slope the growth for one more of the size
 * @param spread the root of the mean square distance of the points from the line
 */
public record LinearFit(double intercept, double slope, double spread) {
    /** A measured value at one size. */
    public record Point(double size, double value) {}

    private static final int LEAST_POINTS = 2;

    /** Of at least two points with different sizes. */
    public static LinearFit through(List<Point> points) {
        if (points.size() < LEAST_POINTS) {
            throw new IllegalArgumentException("a line needs at least two points");
        }
        double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
        double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
        double covariance = 0;
        double variance = 0;
        for (Point point : points) {
            covariance += (point.size - meanSize) * (point.value - meanValue);
            variance += (point.size - meanSize) * (point.size - meanSize);
        }
        if (variance == 0) {
            throw new IllegalArgumentException("a line needs two different sizes");
        }
        double slope = covariance / variance;
        double intercept = meanValue - slope * meanSize;
        double squares = 0;
        for (Point point : points) {
            double distance = point.value - intercept - slope * point.size;
            squares += distance * distance;
        }
        return new LinearFit(intercept, slope, Math.sqrt(squares / points.size()));
    }

    /** What the line says of a size. */
    public double at(double size) {
        return intercept + slope * size;
    }
}

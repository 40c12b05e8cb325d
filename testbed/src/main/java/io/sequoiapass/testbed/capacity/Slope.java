package io.sequoiapass.testbed.capacity;

import java.util.List;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * Least-squares line through the values measured at several sizes.
 *
 * <pre>{@code
 * Slope slope = Slope.fit(points);
 * double atTarget = slope.at(27_000);
 * }</pre>
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public final class Slope {

  /**
   * A measured value.
   *
   * @param size the size at which the value was measured
   * @param value the value
   */
  public record Point(double size, double value) {}

  private final double slope;
  private final double intercept;
  private final double worstResidual;

  private Slope(double slope, double intercept, double worstResidual) {
    this.slope = slope;
    this.intercept = intercept;
    this.worstResidual = worstResidual;
  }

  /**
   * Fits a line.
   *
   * @param points at least two points of different size
   */
  public static Slope fit(List<Point> points) {
    SimpleRegression regression = new SimpleRegression();
    points.forEach(point -> regression.addData(point.size(), point.value()));
    double worst = 0;
    for (Point point : points) {
      double predicted = regression.predict(point.size());
      worst = Math.max(worst, Math.abs(point.value() - predicted) / Math.abs(point.value()));
    }
    return new Slope(regression.getSlope(), regression.getIntercept(), worst);
  }

  /** Returns the growth per unit of size. */
  public double perUnit() {
    return slope;
  }

  /**
   * Returns the value of the line at a size.
   *
   * @param size the size
   */
  public double at(double size) {
    return intercept + slope * size;
  }

  /** Returns the largest absolute residual of a point, relative to the point's value. */
  public double worstResidual() {
    return worstResidual;
  }
}

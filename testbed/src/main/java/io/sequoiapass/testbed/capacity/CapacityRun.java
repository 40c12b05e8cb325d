package io.sequoiapass.testbed.capacity;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Runs every probe at each of its sizes and prints a linear fit of the results.
 *
 * <pre>{@code
 * CapacityRun.run(System.out);
 * }</pre>
 *
 * <p>Stateless. Results apply to this machine and to a single process.
 */
public final class CapacityRun {

  private static final double PERCENT = 100;

  private CapacityRun() {}

  /**
   * Runs all probes.
   *
   * @param out receives the table
   */
  public static void run(PrintStream out) {
    out.println("| what | by | measured | for each | at the letter's size | worst residual |");
    out.println("|---|---|---|---|---|---|");
    for (Probe probe : Probe.values()) {
      out.println(row(probe));
    }
  }

  private static String row(Probe probe) {
    List<Slope.Point> points = new ArrayList<>();
    List<String> measured = new ArrayList<>();
    for (int size : probe.sizes()) {
      double value = probe.measure(size);
      points.add(new Slope.Point(size, value));
      measured.add(size + ": " + number(value));
    }
    Slope slope = Slope.fit(points);
    return String.format(
        Locale.ROOT,
        "| %s | %s | %s | %s | %s (at %d) | %.0f %% |",
        probe.description(),
        probe.unit(),
        String.join(", ", measured),
        number(slope.perUnit()),
        number(slope.at(probe.target())),
        probe.target(),
        slope.worstResidual() * PERCENT);
  }

  private static String number(double value) {
    return String.format(Locale.ROOT, Math.abs(value) < 10 ? "%.3f" : "%.1f", value);
  }
}

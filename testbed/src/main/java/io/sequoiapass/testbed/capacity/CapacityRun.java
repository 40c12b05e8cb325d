package io.sequoiapass.testbed.capacity;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Measures every probe at each of its sizes and prints the line through them.
 *
 * <pre>{@code
 * CapacityRun.run(System.out);
 * }</pre>
 *
 * <p>Stateless; figures are of this machine and of one process.
 */
public final class CapacityRun {

  private static final double PERCENT = 100;

  private CapacityRun() {}

  /**
   * Runs all probes.
   *
   * @param out where the table goes
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
        probe.what(),
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

package io.sequoiapass.gateway.process;

/**
 * Learns how long the weight store takes to bring an adapter to an engine.
 *
 * <p>A request that is sent too early is refused and sent again; one that is sent late has waited
 * for nothing. The time is learned in small steps: learned by factors it fed itself, since a longer
 * time makes more loads count as under way, and callers waited three seconds for loads of a quarter
 * of one. Not safe for use by several threads.
 */
final class LoadTime {

  /** Time of a load alone until it is learned, in milliseconds. */
  private static final double FIRST_MS = 255;

  /** Bounds of the learned time, in milliseconds: beyond them something else is wrong. */
  private static final double SHORTEST_MS = 150;

  private static final double LONGEST_MS = 500;

  /** What one request that came too early adds to the learned time, in milliseconds. */
  private static final double EARLY_STEP_MS = 10;

  /**
   * What the time loses in each round, seven a second. One early request in four seconds holds it;
   * at six times this speed, a tenth of all requests came too early on a heavy day.
   */
  private static final double RELAX_STEP_MS = 0.3;

  /**
   * Loads that run at full speed at once, for each engine; beyond, each takes longer in proportion.
   * Stores are sized with their fleets: 8 for 13 engines, 40 for 63.
   */
  private static final double FULL_SPEED_LOADS = 0.61;

  /** Fewest loads that run at full speed. */
  private static final double LEAST_WIDTH = 2;

  /** Most times that loads take longer while many run. */
  private static final double MOST_STRETCH = 3;

  private final Traffic traffic;
  private double aloneMs = FIRST_MS;

  LoadTime(Traffic traffic) {
    this.traffic = traffic;
  }

  /** Tells of the loads of all data centres, which share one store. */
  interface Traffic {

    /** Returns how many adapters are on their way from the store. */
    int coming(long now);

    /** Returns how many engines there are. */
    int engines();
  }

  /** Returns how long a load takes that begins now, in milliseconds. */
  long storeMs(long now) {
    return (long) (aloneMs * stretch(traffic.coming(now) + 1));
  }

  /** Returns how many times as long loads take now as one alone. */
  double stretch(long now) {
    return stretch(traffic.coming(now));
  }

  private double stretch(int loads) {
    double width = Math.max(LEAST_WIDTH, traffic.engines() * FULL_SPEED_LOADS);
    return Math.max(1, Math.min(MOST_STRETCH, loads / width));
  }

  /** Returns how long a load takes alone, in milliseconds. */
  long aloneMs() {
    return (long) aloneMs;
  }

  /** Notes that an adapter was not there at its time. */
  void early() {
    aloneMs = Math.min(aloneMs + EARLY_STEP_MS, LONGEST_MS);
  }

  /** Lets the learned time come down; called several times a second. */
  void relax() {
    aloneMs = Math.max(SHORTEST_MS, aloneMs - RELAX_STEP_MS);
  }
}

package io.sequoiapass.testbed.policy;

/** What happens to the fleet during one run. */
enum Scenario {
  /** Steady arrivals. */
  ORDINARY,
  /** {@value #PEAK_FACTOR} times the arrivals in the second half. */
  PEAK,
  /** Popularity is dealt out anew at half time. */
  FLIP,
  /** Every second engine restarts empty at half time. */
  COLD_HALF,
  /** One load in five fails and one in fifty hangs. */
  LOAD_FAILURES;

  static final double PEAK_FACTOR = 1.75;
  private static final double FAILING_SHARE = 0.2;
  private static final double HANGING_SHARE = 0.02;

  double rateFactor(boolean secondHalf) {
    return this == PEAK && secondHalf ? PEAK_FACTOR : 1;
  }

  double failingShare() {
    return this == LOAD_FAILURES ? FAILING_SHARE : 0;
  }

  double hangingShare() {
    return this == LOAD_FAILURES ? HANGING_SHARE : 0;
  }
}

package io.sequoiapass.testbed.policy;

/** Load and faults of one run. */
enum Scenario {
  /** Constant arrival rate, no faults. */
  ORDINARY,
  /** {@value #PEAK_FACTOR} times the arrival rate in the second half. */
  PEAK,
  /** The popularity ranks are shuffled at the middle of the run. */
  FLIP,
  /** Every second engine restarts without adapters at the middle of the run. */
  COLD_HALF,
  /** One load in five fails and one in fifty hangs. */
  LOAD_FAILURES;

  static final double PEAK_FACTOR = 1.75;
  private static final double LOAD_FAILURE_PROBABILITY = 0.2;
  private static final double LOAD_HANG_PROBABILITY = 0.02;

  double rateFactor(boolean secondHalf) {
    return this == PEAK && secondHalf ? PEAK_FACTOR : 1;
  }

  double loadFailureProbability() {
    return this == LOAD_FAILURES ? LOAD_FAILURE_PROBABILITY : 0;
  }

  double loadHangProbability() {
    return this == LOAD_FAILURES ? LOAD_HANG_PROBABILITY : 0;
  }
}

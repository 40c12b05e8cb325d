package io.sequoiapass.testbed.policy;

/**
 * Parameters of one simulation run.
 *
 * @param user profile of the requests
 * @param zipf exponent of the Zipf distribution of adapter popularity
 * @param adapters number of adapters of the main model; the second model has a fifth of them
 * @param slots adapter slots of an engine
 * @param maxStreams maximum number of concurrent streams of an engine
 * @param owners number of daemons that share the engines
 * @param runners number of engines of the main model
 * @param secondRunners number of engines of the second model
 * @param rate base arrival rate of both models together, in requests per second
 * @param seconds duration of the run
 */
record SimulationConfig(
    User user,
    double zipf,
    int adapters,
    int slots,
    int maxStreams,
    int owners,
    int runners,
    int secondRunners,
    double rate,
    int seconds) {

  /** Fraction of the adapters and of the arrivals that belong to the second model. */
  static final double SECOND_MODEL_SHARE = 0.2;

  /**
   * Fraction of the run, at its start, that fills the slots and is excluded from the measurements.
   */
  private static final double WARM_UP_SHARE = 0.2;

  double warmUpMs() {
    return seconds * 1000.0 * WARM_UP_SHARE;
  }

  double endMs() {
    return seconds * 1000.0;
  }

  double measurementMidpointMs() {
    return (warmUpMs() + endMs()) / 2;
  }

  int engines() {
    return runners + secondRunners;
  }

  /** Assigns engines to owners round-robin, so that the engines of each model are spread evenly. */
  int ownerOf(int engine) {
    return engine % owners;
  }
}

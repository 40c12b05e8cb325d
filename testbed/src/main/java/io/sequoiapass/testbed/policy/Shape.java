package io.sequoiapass.testbed.policy;

/**
 * Sizes of one run.
 *
 * @param user whose requests
 * @param zipf exponent of the adapters' popularity
 * @param adapters adapters of the main model; the second model has a fifth of them
 * @param slots adapters that an engine holds
 * @param maxStreams streams that an engine runs
 * @param owners daemons that share the engines
 * @param runners engines of the main model
 * @param secondRunners engines of the second model
 * @param rate arrivals a second in ordinary times, of both models
 * @param seconds length of the run
 */
record Shape(
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

  /** Part of the adapters and of the arrivals that belong to the second model. */
  static final double SECOND_SHARE = 0.2;

  /**
   * Requests that arrive before this part of the run has gone by fill the slots and don't count.
   */
  private static final double WARM_UP_SHARE = 0.2;

  double warmUpMs() {
    return seconds * 1000.0 * WARM_UP_SHARE;
  }

  double endMs() {
    return seconds * 1000.0;
  }

  double halfMs() {
    return (warmUpMs() + endMs()) / 2;
  }

  int engines() {
    return runners + secondRunners;
  }

  /** Engines alternate between owners, so that each owner has some of each model. */
  int ownerOf(int engine) {
    return engine % owners;
  }
}

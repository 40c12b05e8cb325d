package io.sequoiapass.testbed.standin;

import io.sequoiapass.testbed.cli.Flags;
import io.sequoiapass.testbed.cli.UsageException;

/**
 * Holds the settings of the platform's stand-in.
 *
 * @param hostsLagMs how long a change of the host list stays unseen
 * @param writesPerSecond writes taken a second
 * @param readsPerSecond reads and watches taken a second
 * @param history changes kept for watches
 * @param seed seed of lost answers
 */
record PlatformSettings(
    int hostsLagMs, int writesPerSecond, int readsPerSecond, int history, long seed) {

  static PlatformSettings of(Flags flags) throws UsageException {
    return new PlatformSettings(
        flags.integer("hosts-lag-ms", 0, 600_000),
        flags.integer("writes-per-second", 1, 1_000_000),
        flags.integer("reads-per-second", 1, 1_000_000),
        flags.integer("history", 1, 10_000_000),
        flags.integer("seed", 0, Integer.MAX_VALUE));
  }
}

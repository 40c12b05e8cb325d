package io.sequoiapass.testbed.standin;

import io.sequoiapass.testbed.cli.Flags;
import io.sequoiapass.testbed.cli.UsageException;

/**
 * Settings of the platform stand-in.
 *
 * @param hostsLagMs delay before a change of the host list is visible, in milliseconds
 * @param writesPerSecond rate limit of writes
 * @param readsPerSecond rate limit of reads and watches
 * @param history number of changes kept for watches
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

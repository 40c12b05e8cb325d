package io.sequoiapass.coordination.process;

import java.util.OptionalLong;

/**
 * Proves how recently the configuration that this daemon uses was in force.
 *
 * <p>A proof is a reading of this daemon's own clocks that was taken before somebody asked the
 * store, together with the revision that the store answered. Neither delays of messages nor the
 * clocks of other hosts can make it appear more recent than it is: a frame that a network partition
 * holds back for seconds still carries the early reading.
 *
 * <pre>{@code
 * ClockReading asked = ClockReading.now(monotonic, wall);   // then ask the store
 * currency.proved(asked, revision);                         // once it has answered
 * if (currency.ageMs(now).orElse(Long.MAX_VALUE) > maxAgeMs) refuse();
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
public final class ConfigurationCurrency {

  private ClockReading proof;
  private ClockReading pending;
  private long pendingRevision;
  private long appliedRevision;

  /**
   * Records that this daemon uses a revision of the configuration.
   *
   * @param revision the revision of the stored configuration
   */
  public synchronized void applied(long revision) {
    appliedRevision = Math.max(appliedRevision, revision);
    if (pending != null && pendingRevision <= appliedRevision) {
      accept(pending);
      pending = null;
    }
  }

  /**
   * Records an answer of the store. It counts once this daemon uses the revision, or a newer one.
   *
   * @param asked a reading of this daemon's clocks from before the store was asked
   * @param revision the configuration's revision in the answer
   */
  public synchronized void proved(ClockReading asked, long revision) {
    if (revision <= appliedRevision) {
      accept(asked);
    } else if (pending == null || asked.isAfter(pending)) {
      pending = asked;
      pendingRevision = revision;
    }
  }

  private void accept(ClockReading asked) {
    if (proof == null || asked.isAfter(proof)) {
      proof = asked;
    }
  }

  /**
   * Returns the largest time since the configuration in use was certainly in force, in
   * milliseconds; empty if that was never proved.
   *
   * @param now a reading of this daemon's clocks
   */
  public synchronized OptionalLong ageMs(ClockReading now) {
    return proof == null ? OptionalLong.empty() : OptionalLong.of(now.maxElapsedMs(proof));
  }
}

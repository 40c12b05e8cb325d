package io.sequoiapass.coordination.version;

import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter for retries.
 *
 * <pre>{@code
 * Backoff backoff = Backoff.create(200, 10_000, random);
 * long wait = backoff.nextDelayMillis();
 * backoff.reset();
 * }</pre>
 *
 * <p>Full jitter draws each delay from zero to the bound, so that hundreds of daemons that lose the
 * platform simultaneously spread their retries evenly. Not thread-safe; confined to one shard.
 */
public final class Backoff {

  private final long baseMillis;
  private final long capMillis;
  private final RandomGenerator random;
  private int failures;

  private Backoff(long baseMillis, long capMillis, RandomGenerator random) {
    this.baseMillis = baseMillis;
    this.capMillis = capMillis;
    this.random = Objects.requireNonNull(random, "random");
  }

  /**
   * Returns a backoff without failures.
   *
   * @param baseMillis the bound of the first delay
   * @param capMillis the bound of every delay
   * @param random the source of the jitter; seeded, so that runs are reproducible
   */
  public static Backoff create(long baseMillis, long capMillis, RandomGenerator random) {
    if (baseMillis <= 0 || capMillis < baseMillis) {
      throw new IllegalArgumentException(
          "backoff needs 0 < base <= cap: base " + baseMillis + ", cap " + capMillis);
    }
    return new Backoff(baseMillis, capMillis, random);
  }

  /** Records a failure and returns the delay before the next attempt, in milliseconds. */
  public long nextDelayMillis() {
    long bound = baseMillis;
    for (int i = 0; i < failures && bound < capMillis; i++) {
      bound = Math.min(capMillis, bound * 2);
    }
    failures++;
    return random.nextLong(bound + 1);
  }

  /** Resets the failure count after a success. */
  public void reset() {
    failures = 0;
  }

  /** Returns the number of failures since the last success. */
  public int failures() {
    return failures;
  }
}

package io.sequoiapass.coordination.version;

import java.util.OptionalLong;

/**
 * The usage that a workspace may have, over all daemons together.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param unit what is counted
 * @param ratePerS units allowed per second; 0 for no limit
 * @param burst units allowed at once beyond the rate
 * @param defaultCost units of a request that does not state its tokens; only for {@link
 *     Unit#TOKENS}
 */
public record UsageLimit(Unit unit, double ratePerS, double burst, long defaultCost) {

  private static final double MILLIS_PER_SECOND = 1_000;

  /** No limit. */
  public static final UsageLimit NONE = new UsageLimit(Unit.REQUESTS, 0, 0, 1);

  /** Checks that no figure is negative. */
  public UsageLimit {
    if (ratePerS < 0 || burst < 0 || defaultCost < 0) {
      throw new IllegalArgumentException(
          "a usage limit must not be negative: " + ratePerS + ", " + burst + ", " + defaultCost);
    }
  }

  /** What a limit counts. */
  public enum Unit {
    /** Each request counts as one. */
    REQUESTS {
      @Override
      long cost(OptionalLong tokens, long defaultCost) {
        return 1;
      }
    },
    /** A request counts as its prompt tokens and the most tokens that its answer may have. */
    TOKENS {
      @Override
      long cost(OptionalLong tokens, long defaultCost) {
        return tokens.orElse(defaultCost);
      }
    };

    abstract long cost(OptionalLong tokens, long defaultCost);
  }

  /** Returns whether usage is limited. */
  public boolean isLimited() {
    return ratePerS > 0;
  }

  /**
   * Returns the units that may be used in any window.
   *
   * @param windowMs the window's length, in milliseconds
   */
  public double unitsInWindow(long windowMs) {
    return ratePerS * windowMs / MILLIS_PER_SECOND + burst;
  }

  /**
   * Returns the cost of a request, in units.
   *
   * @param tokens the tokens of its prompt and answer together; empty if it states none
   */
  public long cost(OptionalLong tokens) {
    return unit.cost(tokens, defaultCost);
  }
}

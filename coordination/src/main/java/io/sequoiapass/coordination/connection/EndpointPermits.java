package io.sequoiapass.coordination.connection;

import io.sequoiapass.coordination.process.PermitAllocator;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;
import java.util.function.DoubleSupplier;

/**
 * The limit that an endpoint has named, and this daemon's permits for requests to it.
 *
 * <pre>{@code
 * permits.named(OptionalDouble.of(2), sentAt, now);
 * if (permits.take(now)) {
 *   send();
 * } else if (permits.shouldAsk(now)) {
 *   permits.asked(now);   // and ask the coordinator
 * }
 * }</pre>
 *
 * <p>Without a coordinator that grants permits, each daemon draws its own at random, with an equal
 * part of {@link #ALONE_SHARE} of the limit on average. Independent draws rarely coincide, however
 * many daemons there are, so the sum holds without any message. Not safe for use by several
 * threads.
 */
public final class EndpointPermits {

  /**
   * How long a permit is valid, in milliseconds. Permits that were saved could otherwise be used by
   * all daemons at once.
   */
  public static final long VALID_MS = 800;

  /**
   * Share of the limit that daemons use without a coordinator. Some may still get permits from one
   * meanwhile, up to the whole limit.
   */
  static final double ALONE_SHARE = 0.35;

  /**
   * Longest time since the last draw that counts for the next one, in milliseconds. After a pause
   * of all daemons, their draws together are worth the limit of this time.
   */
  private static final long SAVED_MS = 5_000;

  /** Interval between asks while a request needs a permit, in milliseconds. */
  private static final long ASK_INTERVAL_MS = 1_000;

  /** How long this daemon relies on its own permits after a coordinator refused to grant any. */
  private static final long ALONE_MS = 2_000;

  /**
   * Expected wait for a permit that is overdue, in milliseconds. Waiting requests check again after
   * the expected wait, and a permit that arrives earlier wakes them.
   */
  private static final long OVERDUE_MS = 50;

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final DoubleSupplier random;
  private final Deque<Long> validUntil = new ArrayDeque<>();
  private OptionalDouble limit = OptionalDouble.empty();
  private long namedAt = NEVER;
  private long askedAt = NEVER;
  private long expectedAt = NEVER;
  private long gapMs;
  private long aloneUntil = NEVER;
  private boolean alone;
  private boolean coordinated;
  private int sharing;
  private long drawnAt;
  private long ownUntil = NEVER;

  /**
   * Creates the permits of an endpoint that has named no limit.
   *
   * @param random draws from 0 (inclusive) to 1 (exclusive)
   */
  public EndpointPermits(DoubleSupplier random) {
    this.random = random;
  }

  /**
   * Records the limit that an answer names. An answer to a request that was sent before the current
   * limit was named may be older than that, so it can only lower the limit.
   *
   * @param requestsPerS requests a second; empty for any number
   * @param sentAt when the request was sent, in milliseconds
   * @param now when the answer arrived, in milliseconds
   * @return whether the limit has changed
   */
  public boolean named(OptionalDouble requestsPerS, long sentAt, long now) {
    boolean lower =
        requestsPerS.isPresent() && requestsPerS.getAsDouble() <= limit.orElse(Double.MAX_VALUE);
    if (!lower && sentAt < namedAt) {
      return false;
    }
    boolean changed = !limit.equals(requestsPerS);
    if (limit.isEmpty() && requestsPerS.isPresent()) {
      forget();
      gapMs = (long) (MILLIS_PER_SECOND / rate(requestsPerS));
      drawnAt = now;
    }
    limit = requestsPerS;
    namedAt = now;
    return changed;
  }

  private void forget() {
    validUntil.clear();
    askedAt = NEVER;
    expectedAt = NEVER;
    aloneUntil = NEVER;
    ownUntil = NEVER;
    alone = false;
  }

  private static double rate(OptionalDouble requestsPerS) {
    return Math.max(PermitAllocator.MIN_RATE_PER_S, requestsPerS.orElse(0));
  }

  /** Returns the limit, in requests a second; empty for any number. */
  public OptionalDouble limit() {
    return limit;
  }

  /** Returns whether the endpoint accepts only so many requests. */
  public boolean isLimited() {
    return limit.isPresent();
  }

  /**
   * Sets whether a coordinator is connected that may grant permits.
   *
   * @param connected whether one is
   * @param daemons the number of daemons that share the limit; 0 if unknown
   * @param now the time, in milliseconds
   */
  public void coordinated(boolean connected, int daemons, long now) {
    alone = !connected || now < aloneUntil;
    sharing = daemons;
    if (alone && coordinated) {
      // Until now the coordinator may have granted the whole limit to others.
      drawnAt = now;
      coordinated = false;
    }
  }

  /**
   * Returns whether a request may be sent.
   *
   * @param now the time, in milliseconds
   */
  public boolean mayTake(long now) {
    if (limit.isEmpty()) {
      return true;
    }
    while (!validUntil.isEmpty() && validUntil.peek() <= now) {
      validUntil.poll();
    }
    return !validUntil.isEmpty() || hasOwn(now);
  }

  private boolean hasOwn(long now) {
    if (!alone || sharing == 0) {
      return false;
    }
    if (now >= ownUntil && now > drawnAt) {
      double chance = Math.min(SAVED_MS, now - drawnAt) / ownGapMs();
      drawnAt = now;
      ownUntil = random.getAsDouble() < chance ? now + VALID_MS : NEVER;
    }
    return now < ownUntil;
  }

  /**
   * Uses a permit for one request; returns false if there is none.
   *
   * @param now the time, in milliseconds
   */
  public boolean take(long now) {
    if (!mayTake(now)) {
      return false;
    }
    if (limit.isPresent()) {
      if (validUntil.isEmpty()) {
        ownUntil = NEVER;
      } else {
        validUntil.poll();
      }
    }
    return true;
  }

  /**
   * Returns whether a request that needs a permit should ask the coordinator for one.
   *
   * @param now the time, in milliseconds
   */
  public boolean shouldAsk(long now) {
    return limit.isPresent() && now - askedAt >= ASK_INTERVAL_MS;
  }

  /** Records that the coordinator is asked for a permit. */
  public void asked(long now) {
    askedAt = now;
  }

  /**
   * Records a permit of the coordinator.
   *
   * @param nextMs the expected time until the next one, in milliseconds
   * @param now the time, in milliseconds
   */
  public void granted(long nextMs, long now) {
    validUntil.add(now + VALID_MS);
    gapMs = nextMs;
    expectedAt = now + nextMs;
    askedAt = NEVER;
    coordinated = true;
  }

  /**
   * Records that this daemon is queued for a permit.
   *
   * @param waitMs the expected time until it is granted, in milliseconds
   * @param now the time, in milliseconds
   */
  public void queued(long waitMs, long now) {
    gapMs = waitMs;
    expectedAt = now + waitMs;
    coordinated = true;
  }

  /** Records that the coordinator may not grant permits now. */
  public void refused(long now) {
    aloneUntil = now + ALONE_MS;
  }

  /**
   * Returns the expected time until a request may be sent, in milliseconds.
   *
   * @param now the time, in milliseconds
   */
  public long waitMs(long now) {
    if (mayTake(now)) {
      return 0;
    }
    return alone ? (long) ownGapMs() : Math.max(OVERDUE_MS, expectedAt - now);
  }

  /** Returns the expected time between two permits of this daemon, in milliseconds. */
  public long gapMs() {
    return Math.max(1, alone ? (long) ownGapMs() : gapMs);
  }

  /** Returns the mean time between two permits that this daemon draws, in milliseconds. */
  private double ownGapMs() {
    return Math.max(1, sharing) * MILLIS_PER_SECOND / (ALONE_SHARE * rate(limit));
  }
}

package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.process.RetryAllowance;
import io.sequoiapass.coordination.process.RetryClaim;
import io.sequoiapass.coordination.process.RetryGrant;
import io.sequoiapass.coordination.process.RetryPurpose;
import io.sequoiapass.coordination.process.RetryTerms;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.DoubleSupplier;

/**
 * Limits how often this daemon retries requests of one service; see {@link RetryAllowance}. Safe
 * for use by several threads.
 */
public final class SharedRetryBudget {

  private final RetryAllowance allowance;
  private final FreezeDetector freezes;
  private final long startedAt;

  /**
   * Creates an unused budget.
   *
   * @param terms the budget that all daemons share
   * @param clock the monotonic clock
   * @param wall the wall clock, which shows that the host was suspended
   */
  SharedRetryBudget(RetryTerms terms, MillisClock clock, MillisClock wall) {
    this(terms, clock, wall, () -> ThreadLocalRandom.current().nextDouble());
  }

  SharedRetryBudget(RetryTerms terms, MillisClock clock, MillisClock wall, DoubleSupplier random) {
    this.allowance = new RetryAllowance(terms, random);
    this.freezes = new FreezeDetector(clock, wall);
    this.startedAt = clock.millis();
  }

  /**
   * Records a request of a caller.
   *
   * @param now the time, in milliseconds
   */
  public synchronized void requestArrived(long now) {
    allowance.requestArrived(now);
  }

  /**
   * Takes back what a request has earned, since a peer serves it; returns false if that was used.
   *
   * @param now the time, in milliseconds
   */
  public synchronized boolean handOn(long now) {
    return allowance.handOn(now);
  }

  /**
   * Uses the budget for one retry, or returns false if it does not allow one.
   *
   * @param purpose what the retry is for
   * @param now the time, in milliseconds
   */
  public synchronized boolean tryAcquire(RetryPurpose purpose, long now) {
    checkSuspension();
    return allowance.tryAcquire(purpose, now);
  }

  /** Takes back the last retry that was used, since no byte of it has reached an endpoint. */
  public synchronized void takeBack() {
    allowance.takeBack();
  }

  /**
   * Returns whether the budget allows a retry.
   *
   * @param purpose what the retry is for
   * @param now the time, in milliseconds
   */
  public synchronized boolean allows(RetryPurpose purpose, long now) {
    checkSuspension();
    return allowance.allows(purpose, now);
  }

  /**
   * Records that a request would be retried if the budget allowed it, so that coordinators lease
   * more.
   *
   * @param now the time, in milliseconds
   */
  public synchronized void lacked(long now) {
    allowance.lacked(now);
  }

  /** Returns the claim to send to a coordinator; empty if none is due. */
  synchronized Optional<RetryClaim> claim(DataCentreId coordinator, boolean isHome, long now) {
    checkSuspension();
    return allowance.claim(coordinator, isHome, now);
  }

  /** Returns whether it is neither used nor needed. */
  synchronized boolean isIdle(long now) {
    return allowance.isIdle(now);
  }

  /** Handles the answer to a claim. */
  synchronized void granted(DataCentreId coordinator, RetryGrant grant) {
    checkSuspension();
    allowance.granted(coordinator, grant);
  }

  /** Handles the loss of the link to a coordinator. */
  synchronized void unlinked(DataCentreId coordinator) {
    allowance.unlinked(coordinator);
  }

  /**
   * Returns what this daemon may use, and what it has used.
   *
   * @param now the time, in milliseconds
   */
  public synchronized Usage usage(long now) {
    return new Usage(allowance.usage(now), now - startedAt);
  }

  /**
   * The state of a budget.
   *
   * @param allowance what may be used and what is used
   * @param ageMs how long ago the budget was created, in milliseconds
   */
  public record Usage(RetryAllowance.Usage allowance, long ageMs) {}

  private void checkSuspension() {
    if (freezes.checkDrift()) {
      allowance.suspended();
    }
  }
}

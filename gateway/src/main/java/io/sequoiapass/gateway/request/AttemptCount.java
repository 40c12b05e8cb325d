package io.sequoiapass.gateway.request;

import io.sequoiapass.gateway.process.SharedRetryBudget;
import io.sequoiapass.gateway.version.RouteSpec;

/**
 * Counts the attempts of one request and decides whether another one is allowed.
 *
 * <p>Not safe for use by several threads.
 */
final class AttemptCount {

  /** Maximum number of times that a request is sent, including rejected attempts. */
  private static final int MAX_SENDS = 4;

  private final RouteSpec route;
  private final SharedRetryBudget budget;
  private int sends;
  private int unsent;
  private int runs;

  /**
   * Creates the count of a request without attempts.
   *
   * @param route the request's route
   * @param budget limits retries
   */
  AttemptCount(RouteSpec route, SharedRetryBudget budget) {
    this.route = route;
    this.budget = budget;
  }

  /** Returns whether the request may be sent: for the first time, or once more. */
  boolean maySend(long now) {
    return sends == 0 || (sends < MAX_SENDS && budget.allows(now));
  }

  /** Counts a send, and uses the budget if it is a retry; returns false if it is not allowed. */
  boolean trySend(long now) {
    if (sends > 0 && (sends >= MAX_SENDS || !budget.tryAcquire(now))) {
      return false;
    }
    sends++;
    return true;
  }

  /** Returns whether the budget allows a retry. */
  boolean budgetAllows(long now) {
    return budget.allows(now);
  }

  /** Records that no byte of the last send reached an endpoint. */
  void unsent() {
    unsent++;
  }

  /** Records that the last send may have run. */
  void ran() {
    runs++;
  }

  /** Returns whether the request may be repeated if it has run so many times. */
  boolean mayRepeatAfter(int possibleRuns) {
    return route.mayRepeat() && possibleRuns < route.maxAttempts() && sends < MAX_SENDS;
  }

  /** Returns whether a response that does not arrive may be replaced by another endpoint's. */
  boolean isReplaceable() {
    return route.mayRepeat() && runs + 1 < route.maxAttempts();
  }

  int sends() {
    return sends;
  }

  /** Returns the number of sends of which no byte reached an endpoint. */
  int unsentCount() {
    return unsent;
  }

  /** Returns the number of attempts that may have run. */
  int runs() {
    return runs;
  }
}

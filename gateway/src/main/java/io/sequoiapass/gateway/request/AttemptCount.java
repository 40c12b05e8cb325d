package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.process.RetryAllowance;
import io.sequoiapass.coordination.process.RetryPurpose;
import io.sequoiapass.gateway.process.SharedRetryBudget;
import io.sequoiapass.gateway.version.RouteSpec;

/**
 * Counts the attempts of one request and decides whether another one is allowed.
 *
 * <p>Not safe for use by several threads.
 */
final class AttemptCount {

  /** Below this remaining time, in milliseconds, no endpoint can answer in time. */
  static final long MIN_REMAINING_MS = 15;

  /** Maximum number of times that a request is sent, including rejected attempts. */
  private static final int MAX_SENDS = 4;

  /** The same for a stream that its caller has begun to receive, which is cut otherwise. */
  private static final int MAX_CONTINUED_SENDS = 8;

  /** Maximum number of times that a request is sent through peers. */
  private static final int MAX_PEER_SENDS = 3;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final RouteSpec route;
  private final SharedRetryBudget budget;
  private final RequestOrigin origin;
  private int sends;
  private int peerSends;
  private int unsent;
  private int paid;
  private int runs;
  private int open;
  private boolean handedOn;
  private long lackedAt = NEVER;
  private RetryPurpose purpose;
  private int maxSends = MAX_SENDS;

  /**
   * Creates the count of a request that this daemon has not sent yet.
   *
   * @param route the request's route
   * @param budget limits retries
   * @param origin where the request comes from, with the attempts of another daemon
   */
  AttemptCount(RouteSpec route, SharedRetryBudget budget, RequestOrigin origin) {
    this.route = route;
    this.budget = budget;
    this.origin = origin;
    this.runs = origin.runs();
    this.purpose =
        origin.lastEventId().isPresent() ? RetryPurpose.CONTINUATION : RetryPurpose.REPEAT;
  }

  /** Records that the caller has begun to receive a stream. */
  void streamBegun() {
    purpose = RetryPurpose.CONTINUATION;
    maxSends = MAX_CONTINUED_SENDS;
  }

  /** Returns whether the request may be sent: for the first time, or once more. */
  boolean maySend(long now) {
    return hasSendsLeft() && (isFirst() || budgetAllows(now));
  }

  /** Sends that reach no endpoint cost a begun stream nothing; it pauses between them. */
  private boolean hasSendsLeft() {
    int counted = maxSends == MAX_SENDS ? sends : sends - unsent;
    return counted < maxSends;
  }

  /** Returns whether nothing has reached an endpoint yet, so that a send is no retry. */
  private boolean isFirst() {
    return sends + peerSends == unsent;
  }

  /** Counts a send, and uses the budget if it is a retry; returns false if it is not allowed. */
  boolean trySend(long now) {
    if (!hasSendsLeft() || !acquire(now)) {
      return false;
    }
    sends++;
    open++;
    return true;
  }

  /** Counts a send through a peer in the same way. */
  boolean trySendThroughPeer(long now) {
    if (peerSends >= MAX_PEER_SENDS || !acquire(now)) {
      return false;
    }
    peerSends++;
    open++;
    return true;
  }

  private boolean acquire(long now) {
    if (isFirst()) {
      return true;
    }
    boolean allowed = budget.tryAcquire(purpose, now);
    if (!allowed && purpose == RetryPurpose.CONTINUATION) {
      lacked(now);
    }
    paid += allowed ? 1 : 0;
    return allowed;
  }

  /**
   * Returns whether the peer that the request is sent through may count it for its own budget; at
   * most one peer may.
   */
  boolean handOn(long now) {
    if (handedOn) {
      return false;
    }
    handedOn = budget.handOn(now);
    return handedOn;
  }

  /** Returns whether the budget allows a retry; one that it denies counts as one need. */
  boolean budgetAllows(long now) {
    boolean allowed = budget.allows(purpose, now);
    if (!allowed) {
      lacked(now);
    }
    return allowed;
  }

  private void lacked(long now) {
    if (now - lackedAt >= RetryAllowance.NEED_MS) {
      lackedAt = now;
      budget.lacked(now);
    }
  }

  /** Returns the use of the budget. */
  SharedRetryBudget.Usage budgetUsage(long now) {
    return budget.usage(now);
  }

  /** Records that no byte of an open send reached an endpoint, which takes back what it cost. */
  void unsent() {
    unsent++;
    open--;
    if (paid > 0) {
      paid--;
      budget.takeBack();
    }
  }

  /** Records that an open send was rejected, and has not run. */
  void rejected() {
    open--;
  }

  /**
   * Returns whether any send may have run. An open one may until its end has been recorded here:
   * its answer may have arrived already, on another thread.
   */
  boolean mayHaveRun() {
    return possibleRuns() > 0;
  }

  /**
   * Returns whether any send of this daemon may have run. What another daemon sent before is left
   * to that daemon, which may go on with the request.
   */
  boolean mayHaveRunHere() {
    return possibleRuns() > origin.runs();
  }

  /** Returns whether any ended send of this daemon may have run. */
  boolean hasRunHere() {
    return runs > origin.runs();
  }

  /**
   * Records that a peer could not serve the request.
   *
   * @param hasSent whether it has sent the request to an endpoint, which makes the next send a
   *     retry
   */
  void refusedByPeer(boolean hasSent) {
    if (hasSent) {
      open--;
    } else {
      unsent();
    }
  }

  /** Returns whether any byte of the request may have reached an endpoint. */
  boolean hasSent() {
    return !isFirst();
  }

  /** Records that an open send may have run. */
  void ran() {
    runs++;
    open--;
  }

  /** Records that a peer may have used all attempts that the route allows. */
  void ranAtPeer() {
    runs = Math.max(runs + 1, route.maxAttempts());
    open--;
  }

  /** Returns whether the request may be repeated after the attempts so far. */
  boolean mayRepeat(long now) {
    return mayRepeatAfter(runs, now);
  }

  /** Returns the same if the open attempts have run, too. */
  boolean mayReplace(long now) {
    return mayRepeatAfter(possibleRuns(), now);
  }

  private boolean mayRepeatAfter(int possibleRuns, long now) {
    return route.mayRepeat()
        && possibleRuns < route.maxAttempts()
        && hasSendsLeft()
        && origin.remainingMs(now) > MIN_REMAINING_MS;
  }

  /** Returns whether a response that does not arrive may be replaced by another endpoint's. */
  boolean isReplaceable() {
    return route.mayRepeat() && possibleRuns() < route.maxAttempts();
  }

  /** Returns the number of sends, to endpoints and through peers. */
  int sends() {
    return sends + peerSends;
  }

  /** Returns the number of sends of which no byte reached an endpoint. */
  int unsentCount() {
    return unsent;
  }

  /** Returns the number of attempts that have ended and may have run. */
  int runs() {
    return runs;
  }

  /** Returns the number of attempts that may have run, with those that are open. */
  private int possibleRuns() {
    return runs + open;
  }

  /** Returns the number of attempts that may have run besides the one that is being sent. */
  int runsOfOthers() {
    return possibleRuns() - 1;
  }
}

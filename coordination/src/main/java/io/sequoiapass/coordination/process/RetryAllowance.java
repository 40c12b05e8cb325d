package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.DataCentreId;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;

/**
 * Decides at one daemon whether the retry budget of one service, which all daemons share, allows a
 * retry.
 *
 * <p>The load it answers: endpoints that fail or reject most requests, which every daemon would
 * retry at the same time. A retry is paid with a part of the ratio, which the daemon earns with
 * each request that it accepts and of which it saves little, or borrowed from the slack that
 * coordinators have leased to it. Neither depends on the number of daemons, so the budget holds for
 * any number of them, cut off or not, and for a daemon that has just started.
 *
 * <pre>{@code
 * allowance.requestArrived(now);
 * if (allowance.tryAcquire(RetryPurpose.REPEAT, now)) {
 *   retry();
 * }
 * allowance.claim(coordinator, isHome, now).ifPresent(send);   // periodically
 * allowance.granted(coordinator, grant, now);                  // on each answer
 * }</pre>
 *
 * <p>Not safe for use by several threads.
 */
public final class RetryAllowance {

  /**
   * Share of the ratio that each request earns, and share of the ratio of the last window that may
   * be saved. Their sum is below one: in a window, all daemons use what they had saved from the
   * window before and what they earn, wherever callers move meanwhile.
   */
  static final double EARNED_SHARE = 0.8;

  static final double SAVED_SHARE = 0.2;

  /** Interval between claims of a daemon that lacks nothing, in milliseconds. */
  private static final long RENEW_MS = 1_000;

  /** Shortest interval between two claims, in milliseconds. */
  private static final long CLAIM_MS = 250;

  /** After this time without an answer a claim is repeated, in milliseconds. */
  private static final long ANSWER_MS = 1_000;

  /**
   * How long retries that yield wait after a continuation was denied, in milliseconds; it is tried
   * again sooner.
   */
  private static final long CONTINUATION_WAIT_MS = 500;

  /** How long a denied retry counts as need, in milliseconds. */
  public static final long NEED_MS = 2_000;

  /** Bounds the denied retries that count as need. */
  private static final int MAX_DENIED = 64;

  private static final double ROUNDING = 1e-9;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final RetryTerms terms;
  private final DoubleSupplier random;
  private final Deque<Long> requests = new ArrayDeque<>();
  private final Deque<Long> denied = new ArrayDeque<>();
  private final Deque<Loan> loans = new ArrayDeque<>();
  private final Map<DataCentreId, Lease> leases = new HashMap<>();
  private double saved;
  private double borrowed;
  private long claims;
  private long continuationDeniedAt = NEVER;

  /** A part of a retry that is borrowed from the slack. */
  private static final class Loan {
    private final long at;
    private double amount;

    Loan(long at, double amount) {
      this.at = at;
      this.amount = amount;
    }
  }

  /** What the coordinator of one data centre has leased. */
  private static final class Lease {
    private int leased;
    private int fair;
    private long validUntil = NEVER;
    private long claimedAt = NEVER;
    private long awaited;

    int units(long now) {
      return now < validUntil ? leased : 0;
    }

    boolean awaitsAnswer(long now) {
      return awaited > 0 && now - claimedAt < ANSWER_MS;
    }
  }

  /**
   * Creates an allowance without requests and leases.
   *
   * @param terms the shared budget
   * @param random draws from 0 (inclusive) to 1 (exclusive)
   */
  public RetryAllowance(RetryTerms terms, DoubleSupplier random) {
    this.terms = terms;
    this.random = random;
  }

  /**
   * Records a request of a caller.
   *
   * @param now the time, in milliseconds
   */
  public void requestArrived(long now) {
    requests.add(now);
    advance(now);
    saved += EARNED_SHARE * terms.ratio();
    double surplus = saved - mostSaved();
    if (surplus > 0) {
      saved -= surplus;
      repay(surplus);
    }
  }

  /**
   * Takes back what the last request has earned, since another daemon serves it and records it;
   * returns false if that was used already.
   *
   * @param now the time, in milliseconds
   */
  public boolean handOn(long now) {
    advance(now);
    double earned = EARNED_SHARE * terms.ratio();
    if (requests.isEmpty() || saved < earned) {
      return false;
    }
    requests.removeLast();
    saved = Math.min(saved - earned, mostSaved());
    return true;
  }

  /**
   * Uses the budget for one retry, or returns false if it does not allow one. A continuation that
   * is denied is tried again, so its need is stated by {@link #lacked}, once.
   *
   * @param purpose what the retry is for
   * @param now the time, in milliseconds
   */
  public boolean tryAcquire(RetryPurpose purpose, long now) {
    if (hasToYield(purpose, now)) {
      lacked(now);
      return false;
    }
    boolean hasRoom = hasRoom(now);
    if (!hasRoom && purpose == RetryPurpose.REPEAT) {
      lacked(now);
    }
    boolean acquired = hasRoom ? acquire(now) : drawsSaved(now);
    if (purpose == RetryPurpose.CONTINUATION) {
      continuationDeniedAt = acquired ? NEVER : now;
    }
    return acquired;
  }

  private boolean acquire(long now) {
    double paid = Math.min(1, saved);
    saved -= paid;
    if (paid < 1) {
      loans.add(new Loan(now, 1 - paid));
      borrowed += 1 - paid;
    }
    return true;
  }

  /** Takes back the last retry that was used, since no byte of it has reached an endpoint. */
  public void takeBack() {
    double lent = 0;
    if (!loans.isEmpty()) {
      Loan last = loans.removeLast();
      lent = last.amount;
      borrowed = loans.isEmpty() ? 0 : borrowed - lent;
    }
    saved = Math.min(saved + Math.max(0, 1 - lent), mostSaved());
  }

  /**
   * Records that a request would be retried if the budget allowed it.
   *
   * @param now the time, in milliseconds
   */
  public void lacked(long now) {
    denied.add(now);
    if (denied.size() > MAX_DENIED) {
      denied.remove();
    }
  }

  /**
   * Uses what is saved for one retry, which it allows with as much probability. A daemon with few
   * requests and without leases could never save a whole retry; independent draws of many daemons
   * add up to what they have saved.
   */
  private boolean drawsSaved(long now) {
    if (mostSaved() >= 1 || leased(now) > 0) {
      return false;
    }
    boolean drawn = random.getAsDouble() < saved;
    saved = 0;
    return drawn;
  }

  /**
   * Returns whether the budget allows a retry.
   *
   * @param purpose what the retry is for
   * @param now the time, in milliseconds
   */
  public boolean allows(RetryPurpose purpose, long now) {
    return !hasToYield(purpose, now) && hasRoom(now);
  }

  private boolean hasToYield(RetryPurpose purpose, long now) {
    return purpose.yields() && now - continuationDeniedAt < CONTINUATION_WAIT_MS;
  }

  private boolean hasRoom(long now) {
    advance(now);
    return saved + Math.max(0, leased(now) - borrowed) >= 1 - ROUNDING;
  }

  /**
   * Returns the claim to send to a coordinator; empty if none is due.
   *
   * @param coordinator the coordinator's data centre
   * @param isHome whether this daemon runs there; others are asked for what that one lacks
   * @param now the time, in milliseconds
   */
  public Optional<RetryClaim> claim(DataCentreId coordinator, boolean isHome, long now) {
    advance(now);
    Lease lease = leases.computeIfAbsent(coordinator, any -> new Lease());
    int elsewhere = leased(now) - lease.units(now);
    int needed = needed();
    boolean lacks = needed > elsewhere + lease.units(now);
    boolean isUsed = isHome || lacks || lease.units(now) > 0;
    if (!isUsed
        || lease.awaitsAnswer(now)
        || now - lease.claimedAt < (lacks ? CLAIM_MS : RENEW_MS)) {
      return Optional.empty();
    }
    // What is borrowed stays occupied, also if the lease has ended since.
    int occupied = (int) Math.ceil(Math.max(0, borrowed - elsewhere) - ROUNDING);
    int kept = lease.units(now) > 0 ? Math.max(occupied, lease.fair) : occupied;
    lease.leased = Math.min(lease.leased, kept);
    claims++;
    lease.awaited = claims;
    lease.claimedAt = now;
    return Optional.of(
        new RetryClaim(claims, lease.leased, isHome ? needed : Math.max(0, needed - elsewhere)));
  }

  /**
   * Handles the answer to a claim.
   *
   * @param coordinator the coordinator's data centre
   * @param grant the answer; ignored if it is not the one to the last claim
   */
  public void granted(DataCentreId coordinator, RetryGrant grant) {
    Lease lease = leases.get(coordinator);
    if (lease != null && lease.awaited == grant.claim()) {
      lease.awaited = 0;
      lease.leased = grant.leased();
      lease.fair = grant.fair();
      lease.validUntil = lease.claimedAt + RetryTerms.LEASE_MS;
    }
  }

  /** Returns whether there was no request in the last window, and nothing is needed. */
  public boolean isIdle(long now) {
    advance(now);
    return requests.isEmpty() && needed() == 0;
  }

  /** Handles the loss of the link to a coordinator; what it has leased is valid until its end. */
  public void unlinked(DataCentreId coordinator) {
    Lease lease = leases.get(coordinator);
    if (lease != null) {
      lease.awaited = 0;
      lease.claimedAt = NEVER;
    }
  }

  /** Ends all leases, and drops what was saved: the clock has stood still for some time. */
  public void suspended() {
    saved = 0;
    leases.keySet().forEach(this::unlinked);
    leases.values().forEach(lease -> lease.validUntil = NEVER);
  }

  /**
   * Returns what this daemon may use, and what it has used.
   *
   * @param now the time, in milliseconds
   */
  public Usage usage(long now) {
    advance(now);
    return new Usage(requests.size(), saved, borrowed, leased(now), needed());
  }

  /**
   * The state of an allowance.
   *
   * @param requests number of callers' requests in the window
   * @param saved retries that were earned and not used
   * @param borrowed retries that occupy slack
   * @param leased number of retries that coordinators have leased
   * @param needed number of retries of the slack that are borrowed or were denied
   */
  public record Usage(int requests, double saved, double borrowed, int leased, int needed) {}

  private double mostSaved() {
    return SAVED_SHARE * terms.ratio() * requests.size();
  }

  private int leased(long now) {
    int sum = 0;
    for (Lease lease : leases.values()) {
      sum += lease.units(now);
    }
    return sum;
  }

  private int needed() {
    return (int) Math.ceil(borrowed - ROUNDING) + denied.size();
  }

  /** Repays the latest loans first: the others end sooner by themselves. */
  private void repay(double surplus) {
    double left = surplus;
    while (left > ROUNDING && !loans.isEmpty()) {
      Loan last = loans.getLast();
      double part = Math.min(left, last.amount);
      last.amount -= part;
      borrowed -= part;
      left -= part;
      if (last.amount <= ROUNDING) {
        loans.removeLast();
      }
    }
    borrowed = loans.isEmpty() ? 0 : borrowed;
  }

  private void advance(long now) {
    expire(requests, now, terms.windowMs());
    expire(denied, now, NEED_MS);
    Iterator<Loan> all = loans.iterator();
    while (all.hasNext()) {
      Loan loan = all.next();
      if (now - loan.at < terms.occupiedMs()) {
        break;
      }
      borrowed -= loan.amount;
      all.remove();
    }
    borrowed = loans.isEmpty() ? 0 : borrowed;
    saved = Math.min(saved, mostSaved());
  }

  private static void expire(Deque<Long> times, long now, long periodMs) {
    while (!times.isEmpty() && now - times.peek() >= periodMs) {
      times.poll();
    }
  }
}

package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.OperationId;
import io.sequoiapass.coordination.version.Backoff;
import io.sequoiapass.coordination.version.ConditionalWrite;
import io.sequoiapass.coordination.version.WriteAnswer;
import io.sequoiapass.coordination.version.WriteDecision;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Acquires, renews and releases a daemon's own lease, and decides before each order whether the
 * lease permits it.
 *
 * <pre>{@code
 * manager.tick(now).ifPresent(platform::call);
 * manager.renewalAnswered(now, operation, new WriteAnswer.Stored(version));
 * if (manager.mayOrder(clock.millis(), FencePolicy.IGNORES, OrderKind.UNLOAD)) { ... }
 * }</pre>
 *
 * <p>The validity of a renewal counts from before its call is sent, so the lease always ends for
 * its holder before it ends for any observer. An expired lease is valid again only once it is
 * renewed <em>and</em> an ownership table newer than that renewal is received: the newer version
 * causes a conflict for a takeover that was decided while the lease was expired and whose write is
 * still in flight. Not thread-safe; confined to one shard.
 */
public final class LeaseManager {

  private static final long BACKOFF_BASE_MILLIS = 250;

  private final LeaseSettings settings;
  private final DaemonId self;
  private final String address;
  private final PlatformConnectivity contact;
  private final PlatformOutageDetector outageDetector;
  private final Backoff backoff;
  private final RandomGenerator random;

  // Two processes with the same daemon name that start at the same time derive the same incarnation
  // from the same previous lease. With equal operation ids, both would treat the one write as their
  // own.
  private final String nonce;

  private long incarnation;
  private LeaseState state = LeaseState.ACTIVE;
  private boolean versionKnown;
  private boolean readCompleted;
  private long version;
  private long renewals;
  private long operations;

  private LeaseRecord pendingValue;
  private ConditionalWrite pending;
  private boolean callInFlight;
  private long firstSentAt;
  private long sentAt;
  private Optional<DaemonId> relay = Optional.empty();
  private Optional<DaemonId> previousRelay = Optional.empty();
  private long nextCallAt;

  private boolean acquired;
  private boolean superseded;
  private boolean released;
  private long validUntil;
  private long tableVersion;

  private long predecessorActiveUntil = Long.MIN_VALUE;
  private boolean unconfirmed = true;
  private long confirmAboveVersion = Long.MAX_VALUE;

  private long lastObservedAt;
  private long pauseDetectedAt = Long.MIN_VALUE;

  private LeaseManager(
      LeaseSettings settings,
      DaemonId self,
      String address,
      long incarnation,
      RandomGenerator random,
      PlatformConnectivity contact,
      long now) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.self = Objects.requireNonNull(self, "self");
    this.address = Objects.requireNonNull(address, "address");
    this.incarnation = incarnation;
    this.nonce = Long.toHexString(random.nextLong());
    this.random = Objects.requireNonNull(random, "random");
    this.contact = Objects.requireNonNull(contact, "contact");
    this.outageDetector = new PlatformOutageDetector(settings, self);
    this.backoff = Backoff.create(BACKOFF_BASE_MILLIS, settings.renewIntervalMillis(), random);
    this.nextCallAt = now;
    this.lastObservedAt = now;
  }

  /**
   * Returns a manager that holds no lease yet.
   *
   * @param settings the timing settings
   * @param self the daemon
   * @param address the daemon's address for peer connections
   * @param incarnation the incarnation of the daemon; raised if a previous lease has the same or a
   *     higher one
   * @param random the source of jitter
   * @param contact tracks whether the daemon reaches the platform
   * @param now the time
   */
  public static LeaseManager create(
      LeaseSettings settings,
      DaemonId self,
      String address,
      long incarnation,
      RandomGenerator random,
      PlatformConnectivity contact,
      long now) {
    return new LeaseManager(settings, self, address, incarnation, random, contact, now);
  }

  /**
   * Advances the time and returns the call that is due.
   *
   * @param now the time
   * @return the call to make, if one is due
   */
  public Optional<LeaseAction> tick(long now) {
    observeTime(now);
    if (callInFlight && now - sentAt >= settings.callTimeoutMillis()) {
      callFailed(now);
    }
    if (callInFlight || superseded || released || now < nextCallAt) {
      return Optional.empty();
    }
    callInFlight = true;
    sentAt = now;
    return Optional.of(versionKnown ? renew(now) : new LeaseAction.Read(relay));
  }

  /**
   * Handles the answer to a {@link LeaseAction.Read}.
   *
   * @param now the time
   * @param stored the own lease object; empty if it does not exist
   */
  public void readAnswered(long now, Optional<StoredLease> stored) {
    observeTime(now);
    if (versionKnown) {
      return;
    }
    callSucceeded(now);
    LeaseRecord former = stored.map(StoredLease::lease).orElse(null);
    // A process that was frozen before it acquired its first lease can find after its pause that a
    // newer process holds the lease. Reclaiming it would stop the process that serves. So only the
    // first read raises the incarnation, which suffices for a wall clock that was set back between
    // two starts.
    boolean replaced = former != null && former.incarnation() > incarnation;
    if (replaced && readCompleted) {
      superseded = true;
      return;
    }
    if (former != null && !acquired) {
      incarnation = Math.max(incarnation, former.incarnation() + 1);
      // A frozen previous process with this daemon name may resume and send orders until its lease
      // ends. Its last renewal precedes this read, so it stops at most one lease duration from now.
      predecessorActiveUntil = now + Math.max(settings.durationMillis(), former.durationMillis());
    }
    version = stored.map(StoredLease::version).orElse(0L);
    readCompleted = true;
    versionKnown = true;
    nextCallAt = now;
  }

  /** Handles the failure of a {@link LeaseAction.Read}. */
  public void readFailed(long now) {
    observeTime(now);
    if (callInFlight && !versionKnown) {
      callFailed(now);
    }
  }

  /**
   * Handles the answer to a {@link LeaseAction.Renew}.
   *
   * @param now the time
   * @param operation the identifier of the write
   * @param answer the answer, or that it was lost
   * @return the outcome of the write; empty for an answer to an earlier write
   */
  public Optional<WriteDecision> renewalAnswered(
      long now, OperationId operation, WriteAnswer answer) {
    observeTime(now);
    if (pending == null || !pending.operation().equals(operation)) {
      return Optional.empty();
    }
    WriteDecision decision = pending.answered(answer);
    switch (decision.outcome()) {
      case APPLIED -> renewalApplied(now, decision.version());
      case CONFLICT -> renewalConflicted(now);
      case RETRY -> scheduleRetry(now, answer);
      default -> throw new AssertionError(decision.outcome());
    }
    return Optional.of(decision);
  }

  /** Handles the version of an ownership table received from the platform or from a peer. */
  public void tableVersionReceived(long receivedVersion) {
    tableVersion = Math.max(tableVersion, receivedVersion);
    if (unconfirmed && tableVersion > confirmAboveVersion) {
      unconfirmed = false;
    }
  }

  /**
   * Sets the daemons that could take over from this one: all that hold leases in its data centre.
   *
   * @param daemons the daemons; may include this one
   */
  public void setMembers(Set<DaemonId> daemons) {
    outageDetector.setMembers(daemons);
  }

  /**
   * Handles the platform report of a peer's heartbeat.
   *
   * @param peer the peer
   * @param report the report
   */
  public void peerReported(DaemonId peer, PlatformReport report) {
    outageDetector.reportReceived(peer, report);
  }

  /**
   * Declares with the next renewal, which becomes due immediately, that the daemon accepts no more
   * endpoints.
   */
  public void drain(long now) {
    state = LeaseState.DRAINING;
    nextCallAt = Math.min(nextCallAt, now);
  }

  /**
   * Releases the lease permanently. The daemon may then delete the object at {@link #version}, once
   * no renewal {@link #isRenewalInFlight is in flight} that would change the version.
   */
  public void release() {
    released = true;
  }

  /** Returns whether a renewal is in flight. */
  public boolean isRenewalInFlight() {
    return pending != null && callInFlight;
  }

  /** Returns the status of the lease. */
  public LeaseStatus status(long now) {
    observeTime(now);
    if (superseded) {
      return LeaseStatus.SUPERSEDED;
    }
    if (!acquired || released) {
      return LeaseStatus.NOT_HELD;
    }
    if (now < predecessorActiveUntil) {
      return LeaseStatus.STARTING;
    }
    if (remainingMillis(now) > 0 && !unconfirmed && pauseDetectedAt == Long.MIN_VALUE) {
      return LeaseStatus.VALID;
    }
    return contact.isOut(now) && outageDetector.isOutForDataCentre(now, tableVersion)
        ? LeaseStatus.LAPSED_FOR_ALL
        : LeaseStatus.LAPSED;
  }

  /**
   * Returns which orders may be sent to an endpoint that this daemon owns in the newest table it
   * holds.
   *
   * @param now the time
   * @param policy whether the endpoint refuses old fencing numbers
   */
  public OrderAuthority authority(long now, FencePolicy policy) {
    return policy.authority(status(now));
  }

  /**
   * Returns whether an order may be sent; to be called immediately before the write. The remaining
   * risk is the delay between this check and the arrival of the write at the endpoint; the lease
   * margin covers it, except for a process pause that starts in between.
   *
   * @param now the time
   * @param policy whether the endpoint refuses old fencing numbers
   * @param order the order
   */
  public boolean mayOrder(long now, FencePolicy policy, OrderKind order) {
    return authority(now, policy).permits(order);
  }

  /**
   * Returns whether this process may hand over its endpoints. A handover is safe because the owner
   * stops its own orders first; a process cannot stop the orders of a predecessor with the same
   * daemon name.
   *
   * @param now the time
   */
  public boolean mayHandOver(long now) {
    return switch (status(now)) {
      case VALID, LAPSED, LAPSED_FOR_ALL -> true;
      case NOT_HELD, STARTING, SUPERSEDED -> false;
    };
  }

  /**
   * Returns the remaining time of the lease in milliseconds, without the margin; 0 once it has
   * expired.
   */
  public long remainingMillis(long now) {
    return acquired ? Math.max(0, validUntil - settings.marginMillis() - now) : 0;
  }

  /**
   * Returns whether endpoints may be assigned to the daemon: its lease has time remaining, and it
   * is not stopping.
   */
  public boolean isCandidate(long now) {
    observeTime(now);
    return remainingMillis(now) > 0 && state == LeaseState.ACTIVE && !superseded && !released;
  }

  /**
   * Returns whether the lease needs a newer ownership table to become valid. The daemon then has to
   * write one unless another daemon does.
   */
  public boolean needsNewerTable(long now) {
    observeTime(now);
    return unconfirmed && confirmAboveVersion != Long.MAX_VALUE && !superseded && !released;
  }

  /** Returns the newest version of the own lease object that is known to be stored. */
  public long version() {
    return version;
  }

  /** Returns the incarnation of the daemon. */
  public long incarnation() {
    return incarnation;
  }

  private LeaseAction renew(long now) {
    if (pending == null) {
      operations++;
      OperationId operation = new OperationId("lease/" + self + "/" + nonce + "/" + operations);
      pending = ConditionalWrite.create(operation, version);
      pendingValue =
          new LeaseRecord(
              self, address, incarnation, renewals + 1, settings.durationMillis(), state);
      firstSentAt = now;
    }
    return new LeaseAction.Renew(pending.operation(), version, pendingValue, relay);
  }

  private void renewalApplied(long now, long appliedVersion) {
    callSucceeded(now);
    renewals = pendingValue.renewals();
    boolean sentAfterPause = firstSentAt >= pauseDetectedAt;
    pending = null;
    version = appliedVersion;
    acquired = true;
    validUntil = firstSentAt + settings.durationMillis();
    nextCallAt = sentAfterPause ? firstSentAt + jittered(settings.renewIntervalMillis()) : now;
    if (sentAfterPause) {
      pauseDetectedAt = Long.MIN_VALUE;
    }
    if (unconfirmed && confirmAboveVersion == Long.MAX_VALUE) {
      confirmAboveVersion = appliedVersion;
      tableVersionReceived(tableVersion);
    }
  }

  private void renewalConflicted(long now) {
    callSucceeded(now);
    pending = null;
    versionKnown = false;
    nextCallAt = now;
  }

  private void scheduleRetry(long now, WriteAnswer answer) {
    callFailed(now);
    if (answer instanceof WriteAnswer.Throttled throttled) {
      nextCallAt = Math.max(nextCallAt, now + throttled.retryAfterMillis());
    }
  }

  private void callSucceeded(long now) {
    callInFlight = false;
    contact.succeeded(now);
    backoff.reset();
  }

  // A daemon that alone cannot reach the platform would lose its endpoints although its peers can
  // reach it. So after a failed direct call the next one is relayed by a peer, and after a failed
  // relayed call the next one is direct.
  private void callFailed(long now) {
    callInFlight = false;
    if (relay.isPresent()) {
      previousRelay = relay;
      relay = Optional.empty();
    } else {
      relay = outageDetector.selectRelay(now, previousRelay);
    }
    nextCallAt = now + backoff.nextDelayMillis();
  }

  private long jittered(long millis) {
    return millis - random.nextLong(millis / 8 + 1);
  }

  // A frozen process resumes in the middle of an operation and relies on checks made before the
  // pause. The gap between two clock readings reveals the pause; orders stop until a renewal sent
  // after the gap is applied. A pause between this check and the write itself is not detected: see
  // docs/design/ownership.md.
  private void observeTime(long now) {
    if (now - lastObservedAt > settings.maxPauseMillis()) {
      pauseDetectedAt = now;
      nextCallAt = Math.min(nextCallAt, now);
    }
    lastObservedAt = Math.max(lastObservedAt, now);
    if (acquired && remainingMillis(now) == 0) {
      unconfirmed = true;
      confirmAboveVersion = Long.MAX_VALUE;
    }
  }
}

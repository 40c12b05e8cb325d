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
 * Keeps a daemon's own lease and tells, right before each order, whether it may still be given.
 *
 * <pre>{@code
 * keeper.tick(now).ifPresent(platform::call);
 * keeper.renewalAnswered(now, operation, new WriteAnswer.Stored(version));
 * if (keeper.mayOrder(clock.millis(), FencePolicy.IGNORES, OrderKind.UNLOAD)) { ... }
 * }</pre>
 *
 * <p>A renewal counts from before its call was sent, so the holder's lease always ends before any
 * observer's view of it. A lease that ran out is whole again only once it is renewed <em>and</em>
 * an ownership table newer than that renewal is known: the newer version defeats a takeover that
 * was decided during the lapse and is still on its way. Not thread-safe; one shard drives it.
 */
public final class LeaseKeeper {

  private static final long BACKOFF_BASE_MILLIS = 250;

  private final LeaseSettings settings;
  private final DaemonId self;
  private final String address;
  private final PlatformContact contact;
  private final OutageEvidence evidence;
  private final Backoff backoff;
  private final RandomGenerator random;

  // Two processes of one name that start at once draw the same incarnation from the same former
  // lease; equal operation ids would let both take the one write for their own.
  private final String nonce;

  private long incarnation;
  private LeaseState state = LeaseState.ACTIVE;
  private boolean ownVersionKnown;
  private boolean readOnce;
  private long version;
  private long renewals;
  private long operations;

  private LeaseRecord pendingValue;
  private ConditionalWrite pending;
  private boolean callOpen;
  private long firstSentAt;
  private long sentAt;
  private Optional<DaemonId> relay = Optional.empty();
  private Optional<DaemonId> lastRelay = Optional.empty();
  private long nextCallAt;

  private boolean acquired;
  private boolean superseded;
  private boolean released;
  private long validUntil;
  private long tableVersion;

  private long predecessorUntil = Long.MIN_VALUE;
  private boolean unconfirmed = true;
  private long confirmAbove = Long.MAX_VALUE;

  private long lastSeen;
  private long pausedAt = Long.MIN_VALUE;

  private LeaseKeeper(
      LeaseSettings settings,
      DaemonId self,
      String address,
      long incarnation,
      RandomGenerator random,
      PlatformContact contact,
      long now) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.self = Objects.requireNonNull(self, "self");
    this.address = Objects.requireNonNull(address, "address");
    this.incarnation = incarnation;
    this.nonce = Long.toHexString(random.nextLong());
    this.random = Objects.requireNonNull(random, "random");
    this.contact = Objects.requireNonNull(contact, "contact");
    this.evidence = new OutageEvidence(settings, self);
    this.backoff = Backoff.create(BACKOFF_BASE_MILLIS, settings.renewEveryMillis(), random);
    this.nextCallAt = now;
    this.lastSeen = now;
  }

  /**
   * Returns a keeper that holds no lease yet.
   *
   * @param settings the times
   * @param self the daemon
   * @param address where peers reach it
   * @param incarnation its process's number; raised when a former lease shows a higher one
   * @param random the source of jitter
   * @param contact the daemon's contact with the platform
   * @param now the time
   */
  public static LeaseKeeper create(
      LeaseSettings settings,
      DaemonId self,
      String address,
      long incarnation,
      RandomGenerator random,
      PlatformContact contact,
      long now) {
    return new LeaseKeeper(settings, self, address, incarnation, random, contact, now);
  }

  /**
   * Lets time pass.
   *
   * @param now the time
   * @return the call to make, if one is due
   */
  public Optional<LeaseAction> tick(long now) {
    look(now);
    if (callOpen && now - sentAt >= settings.callTimeoutMillis()) {
      callFailed(now);
    }
    if (callOpen || superseded || released || now < nextCallAt) {
      return Optional.empty();
    }
    callOpen = true;
    sentAt = now;
    return Optional.of(ownVersionKnown ? renew(now) : new LeaseAction.Read(relay));
  }

  /**
   * Takes in the answer to a {@link LeaseAction.Read}.
   *
   * @param now the time
   * @param stored the own lease object; empty if there is none
   */
  public void readAnswered(long now, Optional<StoredLease> stored) {
    look(now);
    if (ownVersionKnown) {
      return;
    }
    callSucceeded(now);
    LeaseRecord former = stored.map(StoredLease::lease).orElse(null);
    // A process that was frozen before its first lease finds on waking that a newer one holds the
    // name. Taking the name back would stop the one that serves; so only the first read raises the
    // number, which covers a wall clock set back between two starts.
    boolean replaced = former != null && former.incarnation() > incarnation;
    if (replaced && readOnce) {
      superseded = true;
      return;
    }
    if (former != null && !acquired) {
      incarnation = Math.max(incarnation, former.incarnation() + 1);
      // A frozen former process under this name may wake and go on ordering until its lease ends.
      // It last renewed before this moment, so one duration from now it has stopped.
      predecessorUntil = now + Math.max(settings.durationMillis(), former.durationMillis());
    }
    version = stored.map(StoredLease::version).orElse(0L);
    readOnce = true;
    ownVersionKnown = true;
    nextCallAt = now;
  }

  /** Takes in that a {@link LeaseAction.Read} failed. */
  public void readFailed(long now) {
    look(now);
    if (callOpen && !ownVersionKnown) {
      callFailed(now);
    }
  }

  /**
   * Takes in what came back from a {@link LeaseAction.Renew}.
   *
   * @param now the time
   * @param operation the write's name
   * @param answer what came back
   * @return what became of the write; empty for an answer to an older write
   */
  public Optional<WriteDecision> renewalAnswered(
      long now, OperationId operation, WriteAnswer answer) {
    look(now);
    if (pending == null || !pending.operation().equals(operation)) {
      return Optional.empty();
    }
    WriteDecision decision = pending.answered(answer);
    switch (decision.outcome()) {
      case APPLIED -> applied(now, decision.version());
      case CONFLICT -> conflicted(now);
      case RETRY -> retryLater(now, answer);
      default -> throw new AssertionError(decision.outcome());
    }
    return Optional.of(decision);
  }

  /** Takes in the version of an ownership table read from the platform, or had from a peer. */
  public void tableSeen(long seenVersion) {
    tableVersion = Math.max(tableVersion, seenVersion);
    if (unconfirmed && tableVersion > confirmAbove) {
      unconfirmed = false;
    }
  }

  /**
   * Takes in which daemons could take over from this one: all of its data centre's leases.
   *
   * @param daemons the daemons; the own one may be among them
   */
  public void dataCentreIs(Set<DaemonId> daemons) {
    evidence.dataCentreIs(daemons);
  }

  /**
   * Takes in what a peer's heartbeat says of the platform.
   *
   * @param peer the peer
   * @param report what it says
   */
  public void peerReported(DaemonId peer, PlatformReport report) {
    evidence.reported(peer, report);
  }

  /** Says with the next renewal, which is due at once, that the daemon takes no more endpoints. */
  public void drain(long now) {
    state = LeaseState.DRAINING;
    nextCallAt = Math.min(nextCallAt, now);
  }

  /**
   * Gives the lease up for good; the daemon may then delete the object at {@link #version}, once no
   * renewal {@link #isRenewalOpen is open} that would change the version.
   */
  public void release() {
    released = true;
  }

  /** Returns whether a renewal was sent whose answer may still come. */
  public boolean isRenewalOpen() {
    return pending != null && callOpen;
  }

  /** Returns how the lease stands. */
  public LeaseStanding standing(long now) {
    look(now);
    if (superseded) {
      return LeaseStanding.SUPERSEDED;
    }
    if (!acquired || released) {
      return LeaseStanding.NOT_HELD;
    }
    if (now < predecessorUntil) {
      return LeaseStanding.STARTING;
    }
    if (remainingMillis(now) > 0 && !unconfirmed && pausedAt == Long.MIN_VALUE) {
      return LeaseStanding.VALID;
    }
    return contact.isOut(now) && evidence.isOutForAll(now, tableVersion)
        ? LeaseStanding.LAPSED_FOR_ALL
        : LeaseStanding.LAPSED;
  }

  /**
   * Returns which orders may be given to an endpoint that the newest known table gives to this
   * daemon.
   *
   * @param now the time
   * @param policy whether the endpoint refuses old fencing numbers
   */
  public OrderAuthority authority(long now, FencePolicy policy) {
    return policy.authority(standing(now));
  }

  /**
   * Returns whether an order may be given; to be asked right before the write. What is left is the
   * time between this answer and the write reaching the endpoint; the margin covers all of it but a
   * pause that begins just there.
   *
   * @param now the time
   * @param policy whether the endpoint refuses old fencing numbers
   * @param order the order
   */
  public boolean mayOrder(long now, FencePolicy policy, OrderKind order) {
    return authority(now, policy).permits(order);
  }

  /**
   * Returns whether this process may give its endpoints away. A handover is safe because the owner
   * stops its own orders first; a process whose predecessor under the name may still order can't
   * stop those.
   *
   * @param now the time
   */
  public boolean mayHandOver(long now) {
    return switch (standing(now)) {
      case VALID, LAPSED, LAPSED_FOR_ALL -> true;
      case NOT_HELD, STARTING, SUPERSEDED -> false;
    };
  }

  /** Returns the time left of the lease, without the margin; 0 once it ran out. */
  public long remainingMillis(long now) {
    return acquired ? Math.max(0, validUntil - settings.marginMillis() - now) : 0;
  }

  /** Returns whether the daemon may be given endpoints: its lease has time left, and it stays. */
  public boolean isCandidate(long now) {
    look(now);
    return remainingMillis(now) > 0 && state == LeaseState.ACTIVE && !superseded && !released;
  }

  /**
   * Returns whether a newer ownership table is needed before the lease is whole, so that the daemon
   * has to write one if nobody else does.
   */
  public boolean needsTable(long now) {
    look(now);
    return unconfirmed && confirmAbove != Long.MAX_VALUE && !superseded && !released;
  }

  /** Returns the newest version of the own lease object that is known to be applied. */
  public long version() {
    return version;
  }

  /** Returns the number of this process under its name. */
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

  private void applied(long now, long appliedVersion) {
    callSucceeded(now);
    renewals = pendingValue.renewals();
    boolean sentAfterPause = firstSentAt >= pausedAt;
    pending = null;
    version = appliedVersion;
    acquired = true;
    validUntil = firstSentAt + settings.durationMillis();
    nextCallAt = sentAfterPause ? firstSentAt + jittered(settings.renewEveryMillis()) : now;
    if (sentAfterPause) {
      pausedAt = Long.MIN_VALUE;
    }
    if (unconfirmed && confirmAbove == Long.MAX_VALUE) {
      confirmAbove = appliedVersion;
      tableSeen(tableVersion);
    }
  }

  private void conflicted(long now) {
    callSucceeded(now);
    pending = null;
    ownVersionKnown = false;
    nextCallAt = now;
  }

  private void retryLater(long now, WriteAnswer answer) {
    callFailed(now);
    if (answer instanceof WriteAnswer.Throttled throttled) {
      nextCallAt = Math.max(nextCallAt, now + throttled.retryAfterMillis());
    }
  }

  private void callSucceeded(long now) {
    callOpen = false;
    contact.succeeded(now);
    backoff.reset();
  }

  // A daemon that alone is cut off from the platform would lose its endpoints although its peers
  // hear it. So after a failure the next try goes through a peer, and then directly again.
  private void callFailed(long now) {
    callOpen = false;
    if (relay.isPresent()) {
      lastRelay = relay;
      relay = Optional.empty();
    } else {
      relay = evidence.relay(now, lastRelay);
    }
    nextCallAt = now + backoff.nextDelayMillis();
  }

  private long jittered(long millis) {
    return millis - random.nextLong(millis / 8 + 1);
  }

  // A process that was frozen goes on in the middle of what it did, with checks that it made
  // before. The gap in its own clock shows it; orders stop until a renewal sent after the gap is
  // applied. A gap between this check and the write itself stays open: see
  // docs/design/ownership.md.
  private void look(long now) {
    if (now - lastSeen > settings.maxPauseMillis()) {
      pausedAt = now;
      nextCallAt = Math.min(nextCallAt, now);
    }
    lastSeen = Math.max(lastSeen, now);
    if (acquired && remainingMillis(now) == 0) {
      unconfirmed = true;
      confirmAbove = Long.MAX_VALUE;
    }
  }
}

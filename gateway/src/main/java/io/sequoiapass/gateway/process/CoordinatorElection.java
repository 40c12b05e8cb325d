package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.gateway.spi.CoordinatorLease;
import io.sequoiapass.gateway.spi.Stored;
import io.sequoiapass.gateway.spi.WriteResult;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides when this daemon acquires, renews and loses the lease of its data centre's coordinator.
 *
 * <pre>{@code
 * switch (election.next(now, link)) {
 *   case READ -> ...
 *   case WRITE -> store.write(LEASES, name, election.proposal(now), election.expected());
 * }
 * }</pre>
 *
 * <p>The lease is an object of the store that its holder changes with each renewal. Others measure
 * by their own clock how long it has been unchanged, so clocks of different hosts are never
 * compared. All writes are conditional on the revision that was read, so only one of two concurrent
 * writers succeeds. Not safe for use by several threads.
 */
final class CoordinatorElection {

  /** What to do next. */
  enum Step {
    /** Do nothing now. */
    NONE,
    /** Read the lease. */
    READ,
    /** Write {@link #proposal} if the object has the revision {@link #expected}. */
    WRITE
  }

  /** State of the link to the coordinator of this data centre. */
  enum Link {
    /** There is none. */
    DOWN,
    /** A connection is being opened, perhaps to a process that coordinates no longer. */
    OPENING,
    /** The coordinator is connected. */
    UP
  }

  /** Renewal interval, in milliseconds; each renewal is a billed call. */
  static final long RENEW_MS = 1_000;

  /**
   * How long after sending its last successful renewal a holder may order endpoints that check no
   * fencing number, in milliseconds.
   */
  static final long VALID_MS = 1_600;

  /**
   * How long the lease must be unchanged before another daemon acquires it, in milliseconds: longer
   * than {@link #VALID_MS} by a margin for one slow response of the store.
   */
  static final long TAKE_AFTER_MS = 2_200;

  /** Shortest interval between reads while there is no coordinator, in milliseconds. */
  private static final long READ_MS = 400;

  /** Longest interval between reads of an unchanged lease, in milliseconds. */
  private static final long MAX_READ_MS = 1_600;

  /**
   * Range of the time that the daemons of a data centre add to {@link #TAKE_AFTER_MS}, in
   * milliseconds, so that most of them find the lease of the first instead of competing for it.
   */
  static final long SPREAD_MS = 300;

  /**
   * How long a host with a slow network link leaves a released lease to others, in milliseconds:
   * two ticks, in which one that is told reads and takes it, and slow responses of the store.
   */
  static final long YIELD_MS = 450;

  /**
   * Rate from which a network link is not slow, in bytes a second: at {@link
   * FirstListings#LINK_SHARE} it carries the listings of 100 daemons, of 60 KB each, in two
   * seconds.
   */
  private static final long FAST_LINK_BYTES_PER_S = 12_000_000;

  /** Pause after a write without a response, in milliseconds. */
  private static final long RETRY_MS = 250;

  /** Epoch of a lease that did not exist before. */
  static final long FIRST_EPOCH = 1;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final DaemonId daemon;
  private final String process;
  private final InetSocketAddress address;
  private final long spreadMs;
  private final long yieldMs;
  private Optional<Stored<CoordinatorLease>> seen = Optional.empty();
  private boolean read;
  private long unchangedSince = NEVER;
  private long lastReadAt = NEVER;
  private long nextReadAt = NEVER;
  private long readPauseMs = READ_MS;
  private long lastWriteAt = NEVER;
  private long renewedAt = NEVER;
  private boolean holding;
  private boolean busy;
  private boolean writing;
  private long writeChanges;
  private OptionalLong expected = OptionalLong.empty();
  private boolean releasing;
  private boolean withdrawn;
  private CoordinatorLease proposed;

  /**
   * Creates an election of a daemon without a lease.
   *
   * @param daemon this daemon
   * @param process this process
   * @param address the address on which it accepts links
   * @param spreadMs this daemon's part of {@link #SPREAD_MS}, in milliseconds
   * @param linkBytesPerS rate of its host's network link, in bytes a second; empty if it is not
   *     stated
   */
  CoordinatorElection(
      DaemonId daemon,
      String process,
      InetSocketAddress address,
      long spreadMs,
      OptionalLong linkBytesPerS) {
    this.daemon = daemon;
    this.process = process;
    this.address = address;
    boolean isSlow = linkBytesPerS.orElse(FAST_LINK_BYTES_PER_S) < FAST_LINK_BYTES_PER_S;
    this.spreadMs = spreadMs;
    this.yieldMs = isSlow ? YIELD_MS : 0;
  }

  /**
   * Returns the next step.
   *
   * @param now the time, in milliseconds
   * @param link the link to the coordinator of this data centre
   */
  Step next(long now, Link link) {
    if (busy) {
      return Step.NONE;
    }
    if (holding) {
      long due = lastWriteAt + (renewedAt == lastWriteAt ? RENEW_MS : RETRY_MS);
      return releasing || withdrawn || now >= due ? write(now) : Step.NONE;
    }
    if (releasing || link == Link.UP) {
      readPauseMs = READ_MS;
      return Step.NONE;
    }
    boolean justRead = read && now - lastReadAt < READ_MS;
    if (justRead && !withdrawn && mayTake(now) && now - lastWriteAt >= RETRY_MS) {
      return write(now);
    }
    if (link == Link.OPENING || now < nextReadAt) {
      return Step.NONE;
    }
    lastReadAt = now;
    nextReadAt = now + READ_MS;
    busy = true;
    return Step.READ;
  }

  private boolean mayTake(long now) {
    if (seen.isEmpty() || seen.get().value().isEmpty()) {
      return true;
    }
    CoordinatorLease lease = seen.get().value().get();
    // A lease of this daemon's previous process is not in use: both run on the same host.
    return lease.holder().equals(daemon)
        || now - unchangedSince >= (lease.released() ? yieldMs : TAKE_AFTER_MS);
  }

  private Step write(long now) {
    long epoch = seen.flatMap(Stored::value).map(CoordinatorLease::epoch).orElse(FIRST_EPOCH - 1);
    if (!holding) {
      proposed = new CoordinatorLease(daemon, process, address, epoch + 1, 0, false);
    } else {
      CoordinatorLease held = seen.flatMap(Stored::value).orElseThrow();
      proposed = releasing || withdrawn ? held.asReleased() : held.renewed();
    }
    expected = seen.isPresent() ? OptionalLong.of(seen.get().revision()) : OptionalLong.empty();
    lastWriteAt = now;
    busy = true;
    writing = true;
    writeChanges++;
    return Step.WRITE;
  }

  /** Returns the lease to write. */
  CoordinatorLease proposal() {
    return proposed;
  }

  /**
   * Returns the revision that the object must have; empty if it must not exist. It is the one on
   * which {@link #proposal} is based, also if a later one has been observed since.
   */
  OptionalLong expected() {
    return expected;
  }

  /** Returns a number that changes when a write begins and when it ends. */
  long writeChanges() {
    return writeChanges;
  }

  /**
   * Handles the result of a read; empty if the lease does not exist. Ignored during a write, whose
   * response is newer.
   */
  void read(Optional<Stored<CoordinatorLease>> current, long now) {
    if (writing) {
      return;
    }
    busy = false;
    read = true;
    boolean changed = observe(current, now);
    readPauseMs = changed ? READ_MS : Math.min(MAX_READ_MS, readPauseMs * 2);
    if (!mayTake(now)) {
      boolean isReleased = seen.flatMap(Stored::value).orElseThrow().released();
      long expiresAt = unchangedSince + (isReleased ? yieldMs : TAKE_AFTER_MS + spreadMs);
      nextReadAt = Math.max(nextReadAt, Math.min(lastReadAt + readPauseMs, expiresAt));
    }
  }

  /** Handles a failed read. */
  void readFailed() {
    busy = writing;
  }

  private boolean observe(Optional<Stored<CoordinatorLease>> current, long now) {
    boolean same =
        current.map(Stored::revision).equals(seen.map(Stored::revision)) && unchangedSince != NEVER;
    seen = current;
    if (!same) {
      unchangedSince = now;
    }
    // A write whose response was lost may have given this process the lease.
    holding = current.flatMap(Stored::value).filter(lease -> lease.isHeldBy(process)).isPresent();
    return !same;
  }

  /**
   * Handles the lease revision that a coordinator reported on its link. It may be the revision of
   * another holder's lease, of which neither holder nor epoch are known: the lease is read before
   * it is taken, and a holder keeps the revision that it wrote, so that its renewal conflicts.
   */
  void observeRevision(long revision, long now) {
    if (!holding && seen.isPresent() && seen.get().revision() < revision) {
      seen = Optional.of(new Stored<>(seen.get().name(), revision, seen.get().value(), ""));
      unchangedSince = now;
      read = false;
    }
  }

  /** Handles the result of a write; returns whether it acquired or lost the lease. */
  boolean written(WriteResult<CoordinatorLease> result, long now) {
    busy = false;
    writing = false;
    writeChanges++;
    boolean before = holding;
    if (result instanceof WriteResult.Written<CoordinatorLease> written) {
      seen = Optional.of(new Stored<>("", written.revision(), Optional.of(proposed), ""));
      unchangedSince = now;
      holding = !proposed.released();
      renewedAt = lastWriteAt;
    } else if (result instanceof WriteResult.Conflict<CoordinatorLease> conflict) {
      if (conflict.current().isPresent()) {
        observe(conflict.current(), now);
      } else {
        holding = false;
        read = false;
      }
    }
    return before != holding;
  }

  /** Starts to release the lease, for a planned stop. */
  void release() {
    releasing = true;
  }

  /**
   * Sets whether this daemon leaves the lease to others: it releases the one that it holds, and
   * acquires none.
   *
   * @return whether it begins to release the lease
   */
  boolean withdraw(boolean newWithdrawn) {
    boolean releases = holding && newWithdrawn && !withdrawn;
    withdrawn = newWithdrawn;
    return releases;
  }

  /** Ends the lease immediately because an endpoint has received a higher epoch. */
  void superseded() {
    holding = false;
    read = false;
    lastReadAt = NEVER;
    nextReadAt = NEVER;
  }

  /** Returns whether this process holds the lease and is releasing it. */
  boolean isLeaving() {
    return holding && (releasing || withdrawn);
  }

  /** Returns whether this process assumes that it holds the lease. */
  boolean isHolding() {
    return holding;
  }

  /** Returns the epoch of the lease that this process holds. */
  long epoch() {
    return seen.flatMap(Stored::value).map(CoordinatorLease::epoch).orElse(0L);
  }

  /** Returns the last known revision of the lease. */
  long revision() {
    return seen.map(Stored::revision).orElse(0L);
  }

  /**
   * Returns whether an order may be sent.
   *
   * @param now the time, in milliseconds
   * @param fenced whether the endpoint refuses orders with an old epoch. A holder without a
   *     connection to the store may still order such an endpoint, since the first order of the next
   *     holder fences it off
   */
  boolean mayOrder(long now, boolean fenced) {
    return holding && !releasing && !withdrawn && (fenced || now - renewedAt < VALID_MS);
  }
}

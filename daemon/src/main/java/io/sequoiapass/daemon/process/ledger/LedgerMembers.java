package io.sequoiapass.daemon.process.ledger;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.OperationId;
import io.sequoiapass.coordination.request.LedgerMember;
import io.sequoiapass.coordination.version.WriteAnswer;
import io.sequoiapass.daemon.connection.platform.PlatformClient;
import io.sequoiapass.daemon.connection.platform.StoredObject;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Executor;

/**
 * Membership of the idempotency ledger: one object on the platform, changed by conditional writes.
 *
 * <p>A daemon may decide about keys only between its own successful write of the object and the end
 * of the lease that it held when it sent that write, as long as that lease is renewed without a
 * gap. Another daemon may remove it only after its lease has expired, by a write that is
 * conditional on the version read before. So if a daemon rejoins while another removes it, one of
 * the two writes fails with a conflict. Guarded by the node's lock.
 */
final class LedgerMembers {

  private static final String KIND = "ledger";
  private static final String NAME = "members";

  /**
   * Limits how long a key's new primary replica is unknown. 400 daemons make 400 reads per second,
   * of the 2,000 that the platform allows.
   */
  private static final long READ_INTERVAL_MS = 1_000;

  private static final long MIN_RETRY_DELAY_MS = 100;

  private static final long NOT_READ = -1;

  private final PlatformClient platform;
  private final LedgerLeases leases;
  private final Executor locked;
  private final MillisClock clock;
  private LedgerMember self;
  private Set<LedgerMember> members = Set.of();
  private long version = NOT_READ;
  private long knownSince;
  private long leaseUntil = Long.MIN_VALUE;
  private long nextReadAt = Long.MIN_VALUE;
  private long nextWriteAt = Long.MIN_VALUE;
  private long operations;
  private String createOperation = "";
  private boolean callInProgress;
  private boolean confirmed;
  private boolean joined;
  private boolean createdMembership;
  private boolean leaving;
  private boolean incarnationChanged;

  LedgerMembers(
      LedgerMember self,
      MillisClock clock,
      PlatformClient platform,
      LedgerLeases leases,
      Executor locked) {
    this.self = self;
    this.clock = clock;
    this.platform = platform;
    this.leases = leases;
    this.locked = locked;
  }

  LedgerMember self() {
    return self;
  }

  Set<LedgerMember> members() {
    return members;
  }

  long version() {
    return version;
  }

  boolean isMember() {
    return members.contains(self);
  }

  /** Returns whether this incarnation created the membership object. */
  boolean createdMembership() {
    return createdMembership;
  }

  /** Returns, once, whether this daemon was removed and continues as a new incarnation. */
  boolean takeIncarnationChange() {
    boolean changed = incarnationChanged;
    incarnationChanged = false;
    return changed;
  }

  /** Returns until when this incarnation may decide about keys. */
  long authorityUntil() {
    return confirmed && !leaving ? leaseUntil : Long.MIN_VALUE;
  }

  void leave() {
    leaving = true;
  }

  void tick(long now) {
    if (now >= leaseUntil) {
      // Another daemon may remove this one from here on; it decides again after its next write.
      confirmed = false;
    }
    leaseUntil = leases.authorityUntil();
    if (callInProgress) {
      return;
    }
    if (now >= nextReadAt) {
      read();
    } else if (version != NOT_READ && now >= nextWriteAt) {
      write(now);
    }
  }

  private void write(long now) {
    if (leaving) {
      if (isMember()) {
        put(without(Set.of(self.daemon())));
      }
    } else if (now < leaseUntil) {
      if (!confirmed) {
        Set<LedgerMember> with = without(Set.of(self.daemon()));
        with.add(self);
        put(with);
        return;
      }
      List<DaemonId> others =
          members.stream().map(LedgerMember::daemon).filter(d -> !d.equals(self.daemon())).toList();
      Set<DaemonId> expired = leases.expired(others, knownSince);
      if (!expired.isEmpty()) {
        put(without(expired));
      }
    }
  }

  private Set<LedgerMember> without(Set<DaemonId> removed) {
    Set<LedgerMember> rest = new TreeSet<>(members);
    rest.removeIf(member -> removed.contains(member.daemon()));
    return rest;
  }

  private void put(Set<LedgerMember> changed) {
    callInProgress = true;
    long sentUntil = leaseUntil;
    OperationId operation =
        new OperationId("ledger/" + self.daemon() + "/" + self.incarnation() + "/" + ++operations);
    if (version == 0) {
      createOperation = operation.value();
    }
    platform
        .put(KIND, NAME, MembersCodec.json(changed), version, operation)
        .whenComplete(
            (answer, failure) ->
                locked.execute(() -> writeCompleted(changed, operation, answer, sentUntil)));
  }

  private void writeCompleted(
      Set<LedgerMember> changed, OperationId operation, WriteAnswer answer, long sentUntil) {
    callInProgress = false;
    long now = clock.millis();
    // After a failed write only a read returns the version for the next conditional write.
    nextReadAt = now;
    if (answer instanceof WriteAnswer.Stored stored) {
      nextReadAt = now + READ_INTERVAL_MS;
      createdMembership |= operation.value().equals(createOperation);
      update(stored.version(), changed);
      confirmed = isMember() && now < sentUntil;
    } else if (answer instanceof WriteAnswer.Throttled throttled) {
      nextWriteAt = now + Math.max(MIN_RETRY_DELAY_MS, throttled.retryAfterMillis());
    } else if (!(answer instanceof WriteAnswer.Conflict)) {
      nextWriteAt = now + READ_INTERVAL_MS;
    }
  }

  private void read() {
    callInProgress = true;
    platform
        .read(KIND, NAME)
        .whenComplete((stored, failure) -> locked.execute(() -> readCompleted(stored, failure)));
  }

  private void readCompleted(Optional<StoredObject> stored, Throwable failure) {
    callInProgress = false;
    nextReadAt = clock.millis() + READ_INTERVAL_MS;
    if (failure != null) {
      return;
    }
    if (stored.isEmpty()) {
      version = Math.max(version, 0);
      return;
    }
    StoredObject object = stored.get();
    // The answer to the write that created the object may have been lost.
    createdMembership |= !createOperation.isEmpty() && object.operation().equals(createOperation);
    MembersCodec.members(object.value()).ifPresent(read -> update(object.version(), read));
  }

  private void update(long newVersion, Set<LedgerMember> newMembers) {
    if (newVersion <= version) {
      return;
    }
    version = newVersion;
    members = newMembers;
    knownSince = clock.millis();
    if (isMember()) {
      joined = true;
    } else if (joined && !leaving) {
      joined = false;
      confirmed = false;
      incarnationChanged = true;
      self = new LedgerMember(self.daemon(), Math.max(self.incarnation() + 1, wallMillis()));
    }
  }

  private static long wallMillis() {
    return MillisClock.wall().millis();
  }
}

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
 * Keeps the membership of the ledger: one object on the platform, changed by conditional writes.
 *
 * <p>A daemon may decide about keys only between its own successful write of the object and the end
 * of the lease that it held when it sent that write, as long as that lease went on. Another may
 * strike it out only after its lease lapsed, by a write that is conditional on the version that was
 * known before. So of a daemon that comes back and one that strikes it out, one finds a conflict.
 * Guarded by the node's lock.
 */
final class LedgerMembers {

  private static final String KIND = "ledger";
  private static final String NAME = "members";

  /** Bounds how long a key's new home is unknown; 400 daemons make 400 reads a second of 2,000. */
  private static final long READ_EVERY_MS = 1_000;

  private static final long RETRY_MS = 100;

  private static final long NOT_READ = -1;

  private final PlatformClient platform;
  private final LedgerLeases leases;
  private final Executor locked;
  private final MillisClock clock;
  private LedgerMember life;
  private Set<LedgerMember> members = Set.of();
  private long version = NOT_READ;
  private long knownSince;
  private long leaseUntil = Long.MIN_VALUE;
  private long nextReadAt = Long.MIN_VALUE;
  private long nextWriteAt = Long.MIN_VALUE;
  private long operations;
  private String creating = "";
  private boolean calling;
  private boolean confirmed;
  private boolean joined;
  private boolean created;
  private boolean leaving;
  private boolean anew;

  LedgerMembers(
      LedgerMember life,
      MillisClock clock,
      PlatformClient platform,
      LedgerLeases leases,
      Executor locked) {
    this.life = life;
    this.clock = clock;
    this.platform = platform;
    this.leases = leases;
    this.locked = locked;
  }

  LedgerMember life() {
    return life;
  }

  Set<LedgerMember> members() {
    return members;
  }

  long version() {
    return version;
  }

  boolean isMember() {
    return members.contains(life);
  }

  /** Returns whether this life made the first membership that there ever was. */
  boolean createdIt() {
    return created;
  }

  /** Returns, once, whether this daemon was struck out and goes on as a new life. */
  boolean startedAnew() {
    boolean was = anew;
    anew = false;
    return was;
  }

  /** Returns until when this life may decide. */
  long authorityUntil() {
    return confirmed && !leaving ? leaseUntil : Long.MIN_VALUE;
  }

  void leave() {
    leaving = true;
  }

  void tick(long now) {
    if (now >= leaseUntil) {
      // From here on another may strike this daemon out; it decides again after its next write.
      confirmed = false;
    }
    leaseUntil = leases.authorityUntil();
    if (calling) {
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
        put(without(Set.of(life.daemon())));
      }
    } else if (now < leaseUntil) {
      if (!confirmed) {
        Set<LedgerMember> with = without(Set.of(life.daemon()));
        with.add(life);
        put(with);
        return;
      }
      List<DaemonId> others =
          members.stream().map(LedgerMember::daemon).filter(d -> !d.equals(life.daemon())).toList();
      Set<DaemonId> gone = leases.lapsed(others, knownSince);
      if (!gone.isEmpty()) {
        put(without(gone));
      }
    }
  }

  private Set<LedgerMember> without(Set<DaemonId> gone) {
    Set<LedgerMember> rest = new TreeSet<>(members);
    rest.removeIf(member -> gone.contains(member.daemon()));
    return rest;
  }

  private void put(Set<LedgerMember> changed) {
    calling = true;
    long sentUntil = leaseUntil;
    OperationId operation =
        new OperationId("ledger/" + life.daemon() + "/" + life.incarnation() + "/" + ++operations);
    if (version == 0) {
      creating = operation.value();
    }
    platform
        .put(KIND, NAME, MembersCodec.json(changed), version, operation)
        .whenComplete(
            (answer, failure) ->
                locked.execute(() -> written(changed, operation, answer, sentUntil)));
  }

  private void written(
      Set<LedgerMember> changed, OperationId operation, WriteAnswer answer, long sentUntil) {
    calling = false;
    long now = clock.millis();
    // Unless it was stored, only a read tells what the next write has to be conditional on.
    nextReadAt = now;
    if (answer instanceof WriteAnswer.Stored stored) {
      nextReadAt = now + READ_EVERY_MS;
      created |= operation.value().equals(creating);
      known(stored.version(), changed);
      confirmed = isMember() && now < sentUntil;
    } else if (answer instanceof WriteAnswer.Throttled throttled) {
      nextWriteAt = now + Math.max(RETRY_MS, throttled.retryAfterMillis());
    } else if (!(answer instanceof WriteAnswer.Conflict)) {
      nextWriteAt = now + READ_EVERY_MS;
    }
  }

  private void read() {
    calling = true;
    platform
        .read(KIND, NAME)
        .whenComplete((stored, failure) -> locked.execute(() -> wasRead(stored, failure)));
  }

  private void wasRead(Optional<StoredObject> stored, Throwable failure) {
    calling = false;
    nextReadAt = clock.millis() + READ_EVERY_MS;
    if (failure != null) {
      return;
    }
    if (stored.isEmpty()) {
      version = Math.max(version, 0);
      return;
    }
    StoredObject object = stored.get();
    // The answer to the write that made the object may have been lost.
    created |= !creating.isEmpty() && object.operation().equals(creating);
    MembersCodec.members(object.value()).ifPresent(read -> known(object.version(), read));
  }

  private void known(long newVersion, Set<LedgerMember> newMembers) {
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
      anew = true;
      life = new LedgerMember(life.daemon(), Math.max(life.incarnation() + 1, wallMillis()));
    }
  }

  private static long wallMillis() {
    return MillisClock.wall().millis();
  }
}

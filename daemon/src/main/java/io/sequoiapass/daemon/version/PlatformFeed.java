package io.sequoiapass.daemon.version;

import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.version.Backoff;
import io.sequoiapass.coordination.version.ConfigurationObject;
import io.sequoiapass.coordination.version.ConfigurationObject.Tombstone;
import io.sequoiapass.coordination.version.ObjectKey;
import io.sequoiapass.coordination.version.ObjectKind;
import io.sequoiapass.daemon.connection.platform.ObjectChanges;
import io.sequoiapass.daemon.connection.platform.ObjectCodec;
import io.sequoiapass.daemon.connection.platform.ObjectFormatException;
import io.sequoiapass.daemon.connection.platform.ObjectList;
import io.sequoiapass.daemon.connection.platform.PlatformClient;
import io.sequoiapass.daemon.connection.platform.PlatformException;
import io.sequoiapass.daemon.connection.platform.StoredObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Lists and watches the platform's configuration objects, one call at a time.
 *
 * <p>Safe for use by several threads: its state has its own lock, which is never held while the
 * sink is called.
 */
final class PlatformFeed {

  /**
   * How long the platform may hold a watch. A connection that is cut without a sign is noticed only
   * when a watch is overdue, so this bounds how long one watcher is blind.
   */
  private static final long WATCH_WAIT_MS = 3_000;

  /** Bounds what a burst of changes costs the platform: each watch brings what came meanwhile. */
  private static final long WATCH_EVERY_MS = 250;

  private static final Set<ObjectKind> KINDS = Set.of(ObjectKind.values());

  private final MillisClock clock;
  private final PlatformClient platform;
  private final Sink sink;
  private final Backoff backoff;
  private final PlatformReach reach;
  private boolean listed;
  private boolean calling;
  private long nextCallAt = Long.MIN_VALUE;
  private long watchAfter;

  /** Takes what the platform answers, on event loops; must not block. */
  interface Sink {

    /** Called with a whole listing of some kinds at a revision. */
    void listed(long revision, Set<ObjectKind> kinds, List<ConfigurationObject> objects);

    /** Called with changes, deletions as tombstones. */
    void changed(List<ConfigurationObject> objects);

    /** Called when an object cannot be read. */
    void refused(String problem);

    /** Called when a call failed. */
    void failed(Throwable failure);
  }

  PlatformFeed(
      MillisClock clock, PlatformClient platform, Backoff backoff, PlatformReach reach, Sink sink) {
    this.clock = Objects.requireNonNull(clock, "clock");
    this.platform = Objects.requireNonNull(platform, "platform");
    this.backoff = Objects.requireNonNull(backoff, "backoff");
    this.reach = Objects.requireNonNull(reach, "reach");
    this.sink = Objects.requireNonNull(sink, "sink");
  }

  /**
   * Lets time pass.
   *
   * @param list whether a new listing is wanted
   * @param watch whether this daemon is one of those that watch
   */
  void tick(boolean list, boolean watch) {
    long now = clock.millis();
    boolean listNow;
    long after;
    synchronized (this) {
      listNow = list || !listed;
      if (calling || now < nextCallAt || !(listNow || watch || reach.isProbeDue())) {
        return;
      }
      calling = true;
      nextCallAt = now + WATCH_EVERY_MS;
      after = watchAfter;
    }
    if (listNow) {
      list();
    } else {
      watch(after);
    }
  }

  private void list() {
    List<CompletableFuture<ObjectList>> listings =
        KINDS.stream().map(kind -> platform.list(kind.pathName())).toList();
    CompletableFuture.allOf(listings.toArray(new CompletableFuture<?>[0]))
        .whenComplete(
            (done, failure) -> {
              if (failure == null) {
                listed(listings.stream().map(CompletableFuture::join).toList());
              } else {
                failed(failure);
              }
            });
  }

  private void listed(List<ObjectList> listings) {
    // The kinds are listed one by one. What changed in between shows in the watch from the lowest
    // revision on, so taking the lowest loses nothing.
    long revision = listings.stream().mapToLong(ObjectList::revision).min().orElse(0);
    List<ConfigurationObject> objects = new ArrayList<>();
    for (ObjectList listing : listings) {
      listing.items().forEach(stored -> read(stored).ifPresent(objects::add));
    }
    sink.listed(revision, KINDS, objects);
    synchronized (this) {
      listed = true;
      watchAfter = revision;
      succeeded();
    }
  }

  private void watch(long after) {
    List<String> kinds = KINDS.stream().map(ObjectKind::pathName).sorted().toList();
    platform
        .watch(kinds, after, WATCH_WAIT_MS)
        .whenComplete(
            (changes, failure) -> {
              if (failure == null) {
                changed(changes);
              } else {
                failed(failure);
              }
            });
  }

  private void changed(ObjectChanges changes) {
    List<ConfigurationObject> objects = new ArrayList<>();
    for (ObjectChanges.Change change : changes.events()) {
      read(change).ifPresent(objects::add);
    }
    sink.changed(objects);
    synchronized (this) {
      watchAfter = Math.max(watchAfter, changes.revision());
      succeeded();
    }
  }

  private void succeeded() {
    calling = false;
    backoff.reset();
    reach.succeeded();
  }

  // After an outage all watchers of the fleet come back at once. Each waits a random part of a
  // growing time, so that their first calls spread and the platform is not refused its recovery.
  private void failed(Throwable failure) {
    reach.failed(failure);
    synchronized (this) {
      if (failure.getCause() instanceof PlatformException cause
          && cause.reason() == PlatformException.Reason.HISTORY_GONE) {
        listed = false;
      }
      calling = false;
      nextCallAt = clock.millis() + Math.max(WATCH_EVERY_MS, backoff.nextDelayMillis());
    }
    sink.failed(failure);
  }

  private Optional<ConfigurationObject> read(ObjectChanges.Change change) {
    StoredObject stored = change.object();
    if (change.type() == ObjectChanges.Type.DELETE) {
      try {
        ObjectKind kind = ObjectKind.valueOf(stored.kind().toUpperCase(Locale.ROOT));
        return Optional.of(new Tombstone(new ObjectKey(kind, stored.name()), stored.version()));
      } catch (IllegalArgumentException notOurs) {
        return Optional.empty();
      }
    }
    return read(stored);
  }

  /** An object that cannot be read keeps its last good version in force; operators are told. */
  private Optional<ConfigurationObject> read(StoredObject stored) {
    try {
      return Optional.of(ObjectCodec.read(stored));
    } catch (ObjectFormatException e) {
      sink.refused(e.getMessage());
      return Optional.empty();
    }
  }
}

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
 * <p>Safe for use by several threads: a lock guards its state and is never held while the sink is
 * called.
 */
final class PlatformFeed {

  /**
   * Maximum time for which the platform holds a watch call open. A silently broken connection is
   * detected only when a watch is overdue, so this bounds how long one watcher misses changes.
   */
  private static final long WATCH_TIMEOUT_MS = 3_000;

  /**
   * Minimum interval between calls. Limits the platform's load in a burst of changes, since each
   * watch returns all changes since the previous one.
   */
  private static final long CALL_INTERVAL_MS = 250;

  private static final Set<ObjectKind> KINDS = Set.of(ObjectKind.values());

  private final MillisClock clock;
  private final PlatformClient platform;
  private final Sink sink;
  private final Backoff backoff;
  private final PlatformReachability reachability;
  private boolean listed;
  private boolean calling;
  private long nextCallAt = Long.MIN_VALUE;
  private long watchAfter;

  /** Receives the platform's answers on event loops; must not block. */
  interface Sink {

    /** Called with a complete listing of some kinds at a revision. */
    void listed(long revision, Set<ObjectKind> kinds, List<ConfigurationObject> objects);

    /** Called with changed objects, and tombstones for deleted ones. */
    void changed(List<ConfigurationObject> objects);

    /** Called when an object cannot be parsed. */
    void refused(String problem);

    /** Called when a call failed. */
    void failed(Throwable failure);
  }

  PlatformFeed(
      MillisClock clock,
      PlatformClient platform,
      Backoff backoff,
      PlatformReachability reachability,
      Sink sink) {
    this.clock = Objects.requireNonNull(clock, "clock");
    this.platform = Objects.requireNonNull(platform, "platform");
    this.backoff = Objects.requireNonNull(backoff, "backoff");
    this.reachability = Objects.requireNonNull(reachability, "reach");
    this.sink = Objects.requireNonNull(sink, "sink");
  }

  /**
   * Starts a call to the platform if one is due.
   *
   * @param list whether a new listing is required
   * @param watch whether this daemon is a watcher
   */
  void tick(boolean list, boolean watch) {
    long now = clock.millis();
    boolean listDue;
    long after;
    synchronized (this) {
      listDue = list || !listed;
      if (calling || now < nextCallAt || !(listDue || watch || reachability.isProbeDue())) {
        return;
      }
      calling = true;
      nextCallAt = now + CALL_INTERVAL_MS;
      after = watchAfter;
    }
    if (listDue) {
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
    // The kinds are listed separately. The next watch starts from the lowest revision and so
    // returns all changes made between the listings.
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
        .watch(kinds, after, WATCH_TIMEOUT_MS)
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
    reachability.succeeded();
  }

  // After an outage all watchers of the fleet reconnect simultaneously. Exponential backoff with
  // jitter spreads their first calls, so that they do not overload the recovering platform.
  private void failed(Throwable failure) {
    reachability.failed(failure);
    synchronized (this) {
      if (failure.getCause() instanceof PlatformException cause
          && cause.reason() == PlatformException.Reason.HISTORY_GONE) {
        listed = false;
      }
      calling = false;
      nextCallAt = clock.millis() + Math.max(CALL_INTERVAL_MS, backoff.nextDelayMillis());
    }
    sink.failed(failure);
  }

  private Optional<ConfigurationObject> read(ObjectChanges.Change change) {
    StoredObject stored = change.object();
    if (change.type() == ObjectChanges.Type.DELETE) {
      try {
        ObjectKind kind = ObjectKind.valueOf(stored.kind().toUpperCase(Locale.ROOT));
        return Optional.of(new Tombstone(new ObjectKey(kind, stored.name()), stored.version()));
      } catch (IllegalArgumentException unknownKind) {
        return Optional.empty();
      }
    }
    return read(stored);
  }

  /**
   * Keeps the last valid version of an object that cannot be parsed, and reports the problem to
   * operators.
   */
  private Optional<ConfigurationObject> read(StoredObject stored) {
    try {
      return Optional.of(ObjectCodec.read(stored));
    } catch (ObjectFormatException e) {
      sink.refused(e.getMessage());
      return Optional.empty();
    }
  }
}

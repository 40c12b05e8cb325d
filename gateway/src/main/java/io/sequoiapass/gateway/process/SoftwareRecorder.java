package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.gateway.spi.MetadataStore;
import io.sequoiapass.gateway.spi.SoftwareRecord;
import io.sequoiapass.gateway.spi.StoreKind;
import io.sequoiapass.gateway.spi.StoreList;
import io.sequoiapass.gateway.spi.Stored;
import io.sequoiapass.gateway.spi.WriteResult;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Keeps the record of software versions in the store, while this daemon coordinates its data
 * centre.
 *
 * <p>A version is added as soon as an endpoint of it is listed. It is removed once this process has
 * followed the list for as long as streams may be taken up, and has not seen it in that time. The
 * coordinators of all data centres do the same, with conditional writes: a version costs one write
 * when it comes and one when it has gone, and a conflict for each further data centre. Safe for use
 * by several threads.
 */
final class SoftwareRecorder {

  /** Pause after a call that had no effect, in milliseconds. */
  private static final long RETRY_MS = 1_000;

  private final MetadataStore store;
  private final SoftwareHistory history;
  private final Supplier<Set<ServiceId>> services;
  private final LongSupplier retentionMs;
  private final Executor loop;
  private final MillisClock clock;
  private final DecisionLog log;
  private Optional<Known> known = Optional.empty();
  private boolean busy;
  private long nextAt;

  /** The record as it stands; without a revision if it does not exist. */
  private record Known(SoftwareRecord record, OptionalLong revision) {

    private static final Known ABSENT = new Known(SoftwareRecord.EMPTY, OptionalLong.empty());

    private static Known of(Stored<SoftwareRecord> object) {
      return new Known(
          object.value().orElse(SoftwareRecord.EMPTY), OptionalLong.of(object.revision()));
    }
  }

  /**
   * Creates a recorder.
   *
   * @param store holds the record
   * @param history the versions that this process has seen
   * @param services the services whose streams may be taken up
   * @param retentionMs how long after a version has left its streams may be taken up, in
   *     milliseconds
   * @param loop runs callbacks
   * @param clock the monotonic clock
   * @param log the log
   */
  SoftwareRecorder(
      MetadataStore store,
      SoftwareHistory history,
      Supplier<Set<ServiceId>> services,
      LongSupplier retentionMs,
      Executor loop,
      MillisClock clock,
      DecisionLog log) {
    this.store = store;
    this.history = history;
    this.services = services;
    this.retentionMs = retentionMs;
    this.loop = loop;
    this.clock = clock;
    this.log = log;
  }

  /**
   * Reads or writes the record if that is due; called several times a second.
   *
   * @param isCoordinator whether this daemon coordinates its data centre
   */
  void tick(boolean isCoordinator) {
    long now = clock.millis();
    Optional<Known> base;
    synchronized (this) {
      if (!isCoordinator) {
        // Another coordinator may write meanwhile.
        known = Optional.empty();
        return;
      }
      if (busy || now < nextAt || !history.isFollowing(now)) {
        return;
      }
      base = known;
      busy = base.isEmpty() || !next(base.get().record(), now).equals(base.get().record());
      if (!busy) {
        return;
      }
    }
    base.ifPresentOrElse(this::write, this::read);
  }

  /** Returns the record as it has to be. */
  private SoftwareRecord next(SoftwareRecord before, long now) {
    long withinMs = retentionMs.getAsLong();
    boolean removes = history.isComplete(withinMs, now);
    Map<ServiceId, Set<SoftwareVersion>> next = new HashMap<>();
    for (ServiceId service : services.get()) {
      Set<SoftwareVersion> versions = new HashSet<>(history.recent(service, withinMs, now));
      if (!removes) {
        versions.addAll(before.of(service));
      }
      if (!versions.isEmpty()) {
        next.put(service, versions);
      }
    }
    return new SoftwareRecord(next);
  }

  private void read() {
    store
        .list(StoreKind.SOFTWARE)
        .whenComplete((list, failure) -> loop.execute(() -> readEnded(list)));
  }

  private synchronized void readEnded(StoreList<SoftwareRecord> list) {
    busy = false;
    if (list == null) {
      nextAt = clock.millis() + RETRY_MS;
      return;
    }
    known =
        Optional.of(
            list.items().stream()
                .filter(item -> item.name().equals(SoftwareRecord.NAME))
                .findFirst()
                .map(Known::of)
                .orElse(Known.ABSENT));
  }

  private void write(Known base) {
    SoftwareRecord next = next(base.record(), clock.millis());
    store
        .write(StoreKind.SOFTWARE, SoftwareRecord.NAME, next, base.revision())
        .whenComplete((result, failure) -> loop.execute(() -> writeEnded(next, result)));
  }

  private synchronized void writeEnded(SoftwareRecord written, WriteResult<SoftwareRecord> result) {
    busy = false;
    if (result instanceof WriteResult.Written<SoftwareRecord> done) {
      known = Optional.of(new Known(written, OptionalLong.of(done.revision())));
      log.event("software_recorded").with("versions", written.versions().toString()).write();
    } else if (result instanceof WriteResult.Conflict<SoftwareRecord> conflict) {
      known = conflict.current().map(Known::of).or(() -> Optional.of(Known.ABSENT));
    } else {
      // The write may still take effect, so the record has to be read first.
      known = Optional.empty();
      nextAt = clock.millis() + RETRY_MS;
    }
  }
}

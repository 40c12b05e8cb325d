package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.gateway.spi.MetadataStore;
import io.sequoiapass.gateway.spi.SoftwareRecord;
import io.sequoiapass.gateway.spi.StoreKind;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
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

  private final StoreRecord<SoftwareRecord> record;
  private final SoftwareHistory history;
  private final Supplier<Set<ServiceId>> services;
  private final LongSupplier retentionMs;
  private final MillisClock clock;
  private final DecisionLog log;

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
    this.record =
        new StoreRecord<>(
            store,
            StoreKind.SOFTWARE,
            SoftwareRecord.NAME,
            SoftwareRecord.EMPTY,
            read -> {},
            loop,
            clock);
    this.history = history;
    this.services = services;
    this.retentionMs = retentionMs;
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
    if (!isCoordinator) {
      record.forget();
    } else if (history.isFollowing(now)) {
      record.tick(before -> next(before, now), this::written);
    }
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

  private void written(SoftwareRecord written) {
    log.event("software_recorded").with("versions", written.versions().toString()).write();
  }
}

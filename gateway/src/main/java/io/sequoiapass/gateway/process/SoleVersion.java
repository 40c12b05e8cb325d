package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.gateway.spi.MetadataStore;
import io.sequoiapass.gateway.spi.SoftwareRecord;
import io.sequoiapass.gateway.spi.StoreKind;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

/**
 * Proves that one software version alone can have begun the streams of a service that callers still
 * take up.
 *
 * <p>What a process has seen proves nothing: after a loss of power it has seen the versions of this
 * moment only, and one that is cut off does not see those that have come since. So the record of
 * versions in the store decides, as it stands when the stream is taken up. Without a proof a stream
 * must not continue: events of two versions do not fit together, and nothing in the answer would
 * show it.
 *
 * <p>Safe for use by several threads.
 */
final class SoleVersion {

  /** Time in which several streams share one read, in milliseconds; many break at a time. */
  private static final long SHARED_MS = 200;

  private final SoftwareHistory history;
  private final MetadataStore store;
  private final LongSupplier retentionMs;
  private final MillisClock clock;
  private final GatewayMetrics metrics;
  private CompletableFuture<SoftwareRecord> read;
  private long readAt;

  /**
   * Creates it.
   *
   * @param history what this process has seen
   * @param store holds the record
   * @param retentionMs how long after a version has left its streams may be taken up, in
   *     milliseconds
   * @param clock the monotonic clock
   * @param metrics counts what is found
   */
  SoleVersion(
      SoftwareHistory history,
      MetadataStore store,
      LongSupplier retentionMs,
      MillisClock clock,
      GatewayMetrics metrics) {
    this.history = history;
    this.store = store;
    this.retentionMs = retentionMs;
    this.clock = clock;
    this.metrics = metrics;
  }

  /**
   * Returns the only version that can have begun a stream of a service; empty if there may be
   * another one, or the store does not answer.
   *
   * @param service the service
   */
  CompletableFuture<Optional<SoftwareVersion>> find(ServiceId service) {
    Set<SoftwareVersion> seen = history.recent(service, retentionMs.getAsLong(), clock.millis());
    if (seen.size() > 1) {
      return CompletableFuture.completedFuture(counted(Optional.empty()));
    }
    return record()
        .handle(
            (record, failure) ->
                counted(failure == null ? only(seen, record.of(service)) : Optional.empty()));
  }

  /** A version that is seen but not recorded yet may have begun a stream, too. */
  private static Optional<SoftwareVersion> only(
      Set<SoftwareVersion> seen, Set<SoftwareVersion> recorded) {
    Set<SoftwareVersion> all = new HashSet<>(recorded);
    all.addAll(seen);
    return recorded.size() == 1 && all.size() == 1
        ? Optional.of(recorded.iterator().next())
        : Optional.empty();
  }

  private Optional<SoftwareVersion> counted(Optional<SoftwareVersion> version) {
    metrics.count("sequoiapass_sole_versions_total{proved=\"" + version.isPresent() + "\"}");
    return version;
  }

  private synchronized CompletableFuture<SoftwareRecord> record() {
    long now = clock.millis();
    if (read == null || now - readAt >= SHARED_MS) {
      readAt = now;
      read =
          store
              .list(StoreKind.SOFTWARE)
              .thenApply(
                  list ->
                      list.items().stream()
                          .filter(item -> item.name().equals(SoftwareRecord.NAME))
                          .flatMap(item -> item.value().stream())
                          .findFirst()
                          .orElse(SoftwareRecord.EMPTY));
    }
    return read;
  }
}

package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.spi.MetadataStore;
import io.sequoiapass.gateway.spi.SoftwareRecord;
import io.sequoiapass.gateway.spi.StoreKind;
import io.sequoiapass.gateway.spi.StoreList;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

/**
 * Proves that one software version alone can have begun the streams of a service that callers still
 * take up.
 *
 * <p>What a process has seen proves nothing: after a loss of power it has seen the versions of this
 * moment only, and one that is cut off, or stood still, does not see those that have come since. So
 * the store decides, as it stands after the stream has been taken up: the record of versions, which
 * has those that have left, and the list of endpoints, which has those that no coordinator has
 * recorded yet. Without a proof a stream must not continue: events of two versions do not fit
 * together, and nothing in the answer would show it.
 *
 * <p>Safe for use by several threads.
 */
final class SoleVersion {

  /** What the store holds: the versions of each service, by the record and by the list. */
  private record Versions(SoftwareRecord recorded, Map<ServiceId, Set<SoftwareVersion>> listed) {}

  private final SoftwareHistory history;
  private final MetadataStore store;
  private final LongSupplier retentionMs;
  private final MillisClock clock;
  private final GatewayMetrics metrics;
  private CompletableFuture<Versions> next;
  private boolean isReading;

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
    if (seen(service).size() > 1) {
      return CompletableFuture.completedFuture(counted(Optional.empty()));
    }
    return read()
        .handle(
            (read, failure) -> counted(failure == null ? only(service, read) : Optional.empty()));
  }

  private Set<SoftwareVersion> seen(ServiceId service) {
    return history.recent(service, retentionMs.getAsLong(), clock.millis());
  }

  /** A version that is seen or listed, but not recorded yet, may have begun a stream, too. */
  private Optional<SoftwareVersion> only(ServiceId service, Versions read) {
    Set<SoftwareVersion> recorded = read.recorded().of(service);
    Set<SoftwareVersion> all = new HashSet<>(recorded);
    all.addAll(seen(service));
    all.addAll(read.listed().getOrDefault(service, Set.of()));
    return recorded.size() == 1 && all.size() == 1
        ? Optional.of(recorded.iterator().next())
        : Optional.empty();
  }

  private Optional<SoftwareVersion> counted(Optional<SoftwareVersion> version) {
    metrics.count("sequoiapass_sole_versions_total{proved=\"" + version.isPresent() + "\"}");
    return version;
  }

  /** Returns a read that has not begun yet: an earlier one shows an earlier state of the store. */
  private CompletableFuture<Versions> read() {
    CompletableFuture<Versions> result;
    synchronized (this) {
      if (next == null) {
        next = new CompletableFuture<>();
      }
      result = next;
      if (isReading) {
        return result;
      }
      isReading = true;
      next = null;
    }
    begin(result);
    return result;
  }

  private void begin(CompletableFuture<Versions> result) {
    store
        .list(StoreKind.SOFTWARE)
        .thenCombine(
            store.list(StoreKind.ENDPOINTS),
            (recorded, endpoints) -> new Versions(recorded(recorded), listed(endpoints)))
        .whenComplete(
            (read, failure) -> {
              beginNext();
              if (failure == null) {
                result.complete(read);
              } else {
                result.completeExceptionally(failure);
              }
            });
  }

  /** Begins the read for those that have asked since the last one began. */
  private void beginNext() {
    CompletableFuture<Versions> result;
    synchronized (this) {
      result = next;
      next = null;
      isReading = result != null;
    }
    if (result != null) {
      begin(result);
    }
  }

  private static SoftwareRecord recorded(StoreList<SoftwareRecord> list) {
    return list.items().stream()
        .filter(item -> item.name().equals(SoftwareRecord.NAME))
        .flatMap(item -> item.value().stream())
        .findFirst()
        .orElse(SoftwareRecord.EMPTY);
  }

  private static Map<ServiceId, Set<SoftwareVersion>> listed(StoreList<EndpointEntry> list) {
    return list.items().stream()
        .flatMap(item -> item.value().stream())
        .collect(
            Collectors.groupingBy(
                EndpointEntry::service,
                Collectors.mapping(EndpointEntry::software, Collectors.toSet())));
  }
}

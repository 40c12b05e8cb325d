package io.sequoiapass.gateway.spi;

import io.sequoiapass.coordination.connection.SilenceInquiry;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * An endpoint's report of its own state; the values are some hundred milliseconds old.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param models the base models that it holds
 * @param loading adapters that it is loading, with their versions
 * @param busy whether it is executing an order
 * @param sequence number of orders that it has accepted
 * @param work what it works on; empty if not stated
 */
public record EndpointReport(
    List<EndpointEntry.HeldModel> models,
    Map<AdapterName, Long> loading,
    boolean busy,
    long sequence,
    Optional<SilenceInquiry.Work> work) {

  /** Copies the collections. */
  public EndpointReport {
    models = List.copyOf(models);
    loading = Map.copyOf(loading);
  }

  /**
   * Creates a report that does not state the running requests.
   *
   * @param models the base models that it holds
   * @param loading adapters that it is loading, with their versions
   * @param busy whether it is executing an order
   * @param sequence number of orders that it has accepted
   */
  public EndpointReport(
      List<EndpointEntry.HeldModel> models,
      Map<AdapterName, Long> loading,
      boolean busy,
      long sequence) {
    this(models, loading, busy, sequence, Optional.empty());
  }

  /**
   * Returns whether the endpoint holds an adapter.
   *
   * @param adapter the adapter
   * @param minVersion the oldest version that serves
   */
  public boolean holds(AdapterName adapter, long minVersion) {
    return models.stream()
        .filter(held -> held.model().equals(adapter.model()))
        .anyMatch(held -> held.adapters().getOrDefault(adapter.adapter(), -1L) >= minVersion);
  }
}
